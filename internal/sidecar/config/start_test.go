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

func TestLoad_TransientReadFailure(t *testing.T) {
	path := configtest.NewConf("127.0.0.1:1").Write(t)
	env := func(name string) string { return map[string]string{"NODE_CONFIG": path}[name] }
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOMEM, syscall.EINTR, syscall.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			attempts := 0
			read := func(path string) ([]byte, error) {
				if attempts++; attempts < 3 {
					return nil, &os.PathError{Op: "open", Path: path, Err: errno}
				}
				return os.ReadFile(path)
			}
			start := retry.NewStartRetrier(t.Context(), slog.New(slog.DiscardHandler))
			if _, err := config.LoadWith(env, config.RetryingRead(start, read)); err != nil || attempts != 3 {
				t.Errorf("error %v after %d attempts, want success at the third", err, attempts)
			}
		})
	}
}
