package routeclient

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marblelane/internal/route"
)

// TestWatch_nextReplica verifies that the watch moves to the next replica after an error, and that an older table is
// ignored.
func TestWatch_nextReplica(t *testing.T) {
	a, b := newFakeService(t), newFakeService(t)
	client := startClient(t, nil, a, b)
	first := receive(t, "watch", a.watches)
	require.Equal(t, "after=0&schema=2&watch=1", first.query)
	first.write(t, document(t, 5)+"\n\n")
	require.EqualValues(t, 5, client.waitTable(5).Rev)
	first.write(t, document(t, 4)+"\n"+document(t, 5)+"\n"+document(t, 7)+"\n")
	client.waitTable(7)
	close(first.text)
	second := receive(t, "watch at the next replica", b.watches)
	require.Equal(t, "after=7&schema=2&watch=1", second.query)
	second.write(t, document(t, 6)+"\n"+document(t, 8)+"\n")
	client.waitTable(8)
	c := newFakeService(t)
	client.SetAddrs([]string{c.addr()})
	receive(t, "end of the earlier watch", second.ended)
	receive(t, "watch at the new address", c.watches)
}

func TestWatch_silent(t *testing.T) {
	a, b := newFakeService(t), newFakeService(t)
	startClient(t, func(s *Client) { s.timings.watchTimeout = 20 * time.Millisecond }, a, b)
	receive(t, "end of the silent watch", receive(t, "watch", a.watches).ended)
	receive(t, "watch at the next replica", b.watches)
}

// TestWatch_unreadableDocuments verifies that an unreadable document changes nothing and is logged once for each
// revision. The same holds for text that is no document, and for incomplete and overlong lines.
func TestWatch_unreadableDocuments(t *testing.T) {
	service := newFakeService(t)
	client := startClient(t, nil, service)
	watch := receive(t, "watch", service.watches)
	watch.write(t, document(t, 5)+"\n")
	client.waitTable(5)
	newer := `{"schema":9,"reads":9,"rev":6,"closed":0,"routes":[]}` + "\n"
	watch.write(t, newer+newer+`{"schema":2,"reads":1,"rev":7,"closed":0,"routes":[{"tenant":"a","share":1.5}]}`+"\n")
	eventually(t, "report that revision 7 is unreadable", func() bool {
		return client.makeReport(1, route.LeaderTime{}).UnreadableRev == 7
	})
	watch.write(t, newer+"no document\nno document\n"+document(t, 8)[:20]+"\n")
	half := document(t, 9)
	watch.write(t, half)
	close(watch.text)
	for _, text := range []string{"", half[:len(half)-1], strings.Repeat("x", 20<<20), strings.Repeat(half, 30<<10) + "\n"} {
		next := receive(t, "next watch", service.watches)
		require.Equal(t, "after=5&schema=2&watch=1", next.query)
		select {
		case next.text <- text:
		case <-next.ended:
		}
		select {
		case next.text <- "":
		case <-next.ended:
		}
		close(next.text)
	}
	next := receive(t, "last watch", service.watches)
	require.Equal(t, "after=5&schema=2&watch=1", next.query)
	for rev, times := range map[int]int{6: 1, 7: 1, 0: 1} {
		require.Equal(t, times, client.log.count(fmt.Sprintf("revision=%d ", rev)), "log entries of revision %d", rev)
	}
	require.Equal(t, 2, client.log.count(errLineTooLong.Error()))
	next.write(t, document(t, 10)+"\n")
	client.waitTable(10)
	require.Zero(t, client.Status().UnreadableRev)
}
