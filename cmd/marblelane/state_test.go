package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/snapshot"
)

func TestStateCommands(t *testing.T) {
	dir := t.TempDir()
	var out, errOut bytes.Buffer
	a := &app{ctx: context.Background(), out: &out, errOut: &errOut}
	verify := func(path string) error {
		out.Reset()
		return (&stateVerify{stateFiles{Path: path, MaxBytes: snapshot.DefaultMaxBytes}}).Run(a)
	}
	show := func(path string) error {
		out.Reset()
		errOut.Reset()
		return (&stateShow{stateFiles{Path: path, MaxBytes: snapshot.DefaultMaxBytes}}).Run(a)
	}
	require.ErrorContains(t, verify(dir), dir+": no state file in this folder")
	require.ErrorIs(t, verify(filepath.Join(dir, "x")), os.ErrNotExist)
	st, err := snapshot.Open(dir, snapshot.Options{Identity: snapshot.Identity{Site: "stock", Name: "one"}})
	require.NoError(t, err)
	for rev := range int64(2) {
		require.NoError(t, st.Save(a.ctx, &snapshot.Snapshot{Written: time.Unix(5, 0), List: snapshot.List{Rev: rev}}))
	}
	require.NoError(t, st.Close())

	older, newer := filepath.Join(dir, "state.0"), filepath.Join(dir, "state.1")
	require.NoError(t, verify(dir))
	assert.Contains(t, out.String(), older+`: sound seq=1 written=1970-01-01T00:00:05Z`)
	assert.Contains(t, out.String(), newer+`: sound seq=2 `)
	require.NoError(t, show(dir))
	var got struct {
		Seq  int
		List snapshot.List
	}
	require.NoError(t, json.Unmarshal(out.Bytes(), &got))
	assert.Equal(t, 2, got.Seq)
	assert.EqualValues(t, 1, got.List.Rev)

	b, err := os.ReadFile(newer)
	require.NoError(t, err)
	b[60] ^= 4
	require.NoError(t, os.WriteFile(newer, b, 0o600))
	require.Equal(t, exitError(exitFail), verify(dir))
	assert.Contains(t, out.String(), newer+`: unsound: at byte 36, in section 0 ("head"): checksum mismatch`)
	assert.Contains(t, out.String(), older+": sound")
	require.Equal(t, exitError(exitFail), show(dir), "prints the older state and reports that the newer is unsound")
	assert.Contains(t, errOut.String(), newer+": unsound")
	assert.Contains(t, out.String(), older)
	require.Equal(t, exitError(exitFail), show(newer))
	assert.Empty(t, out.String())
}
