package config_test

import (
	"log/slog"
	"os"
	"syscall"
	"testing"

	"marblelane/internal/retry"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/configtest"
)

func TestConfigurationThatCannotBeReadForAMoment(t *testing.T) {
	path := configtest.NewConf("127.0.0.1:1").Write(t)
	env := func(name string) string { return map[string]string{"NODE_CONFIG": path}[name] }
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOMEM, syscall.EINTR, syscall.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			tries := 0
			read := func(path string) ([]byte, error) {
				if tries++; tries < 3 {
					return nil, &os.PathError{Op: "open", Path: path, Err: errno}
				}
				return os.ReadFile(path)
			}
			start := retry.NewStart(t.Context(), slog.New(slog.DiscardHandler))
			if _, err := config.LoadWith(env, config.RetryingRead(start, read)); err != nil || tries != 3 {
				t.Errorf("%v after %d tries", err, tries)
			}
		})
	}
}
