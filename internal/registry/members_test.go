package registry

import (
	"encoding/json"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"marblelane/internal/membership"
	"marblelane/internal/registry/listserver"
)

// A membership change is rejected if the voters after it would have no responding quorum. A complete replacement of a
// replica is tested in cmd/marblelane.
func TestMembership_quorum(t *testing.T) {
	all := cluster(t, 4, nil)
	l := leader(t, all)
	first := l.cfg.Name
	require.ErrorIs(t, l.node.Retire(first), listserver.ErrNotLeader) // transfers the leadership first
	until(t, "the next leader, and the removal of the old one", func() bool {
		l = leader(t, all)
		return l.cfg.Name != first && l.node.Retire(first) == nil
	})
	require.NoError(t, l.node.Retire(first), "a repeated call")
	require.Len(t, l.node.Replicas(), 3)
	var others []*testReplica
	for _, c := range all {
		if c.cfg.Name != first && c != l {
			others = append(others, c)
		}
	}
	nobody := listserver.Peer{Name: "r9", Raft: freePort(t), Serve: freePort(t)} // not running
	before := l.node.Replicas()
	require.ErrorIs(t, l.node.Learn(nobody), listserver.ErrRejected)
	require.Len(t, l.node.Replicas(), len(before), "a rejected change must leave no learner")
	mute, err := net.Listen("tcp", nobody.Raft) // accepts connections, but never responds
	require.NoError(t, err)
	t.Cleanup(func() { mute.Close() })
	require.NoError(t, l.node.Learn(nobody))
	code, text := call(t, "POST", others[0].cfg.Listen, listserver.ReplicasPath+"/r9/promote", "")
	require.Equal(t, 409, code)
	require.Contains(t, text, "r9 does not answer")
	require.ErrorIs(t, l.node.Promote("r7"), listserver.ErrRejected)
	require.ErrorIs(t, l.node.Learn(listserver.Peer{Name: "r9", Raft: "127.0.0.1:1", Serve: "x"}), listserver.ErrRejected, "the name is in use")
	require.ErrorIs(t, l.node.Learn(listserver.Peer{Name: "r8", Raft: nobody.Raft, Serve: "x"}), listserver.ErrRejected, "the address is in use")
	require.NoError(t, l.node.Retire("r9"))
	others[0].end(t)
	code, text = call(t, "POST", l.cfg.Listen, listserver.ReplicasPath+"/"+others[1].cfg.Name+"/retire", "")
	require.Equal(t, 409, code)
	require.Contains(t, text, "of the 2 that would vote 1 answer")
	put(t, l, "s1", 1, 0) // the rejected change has no effect
	require.NoError(t, l.node.Retire(others[0].cfg.Name), "the stopped replica can be removed")
}

// withMembers configures a replica as a member of the membership group, with the given seed.
func withMembers(t *testing.T, c *Config, bind, seed string) {
	t.Helper()
	f := file{Name: c.Name, Members: &membership.Section{Fleet: "f", Bind: bind, Seeds: []string{seed}, Interval: "50ms"}}
	var err error
	c.Members, err = f.membersConfig()
	require.NoError(t, err)
	require.True(t, c.Members.Observer)
}

// A setting with which joining the membership group would always fail is rejected when the configuration is read.
func TestMembers_configErrors(t *testing.T) {
	for key, f := range map[string]file{
		"name": {Name: "a copy", Members: &membership.Section{Fleet: "f", Bind: "127.0.0.1:0"}},
		"bind": {Name: "r0", Members: &membership.Section{Fleet: "f", Bind: ":7946"}},
	} {
		_, err := f.membersConfig()
		require.ErrorContains(t, err, "members."+key+": ")
	}
}

func status(t *testing.T, c *testReplica) (out listserver.Status) {
	t.Helper()
	code, text := call(t, "GET", c.cfg.Listen, "/registry/status", "")
	require.Equal(t, 200, code)
	require.NoError(t, json.Unmarshal([]byte(text), &out))
	return out
}

func TestStatus_membership(t *testing.T) {
	seed := freePort(t)
	taken, err := net.Listen("tcp", freePort(t))
	require.NoError(t, err)
	all := cluster(t, 3, func(c *Config) {
		bind := map[string]string{"r0": seed, "r1": "127.0.0.1:0", "r2": taken.Addr().String()}[c.Name]
		withMembers(t, c, bind, seed)
	})
	stands := func(want ...membership.MemberState) func() bool {
		return func() bool {
			for i, c := range status(t, all[0]).Replicas {
				if c.Member != want[i] {
					return false
				}
			}
			return true
		}
	}
	// A replica that cannot bind its membership address serves requests, and the group does not know it.
	until(t, "two alive members", stands(membership.Alive, membership.Alive, listserver.UnknownMember))
	code, _ := call(t, "GET", all[2].cfg.Listen, listserver.MembersPath, "")
	require.Equal(t, 503, code)
	put(t, all[2], "s1", 1, 0)
	require.NoError(t, taken.Close())
	until(t, "three alive members", stands(membership.Alive, membership.Alive, membership.Alive))
	code, text := call(t, "GET", all[2].cfg.Listen, listserver.MembersPath, "")
	require.Equal(t, 200, code)
	require.Contains(t, text, `"role":"list"`)
	_, text = call(t, "GET", all[0].cfg.Listen, "/stats", "")
	require.Contains(t, text, "registry_members{state=\"alive\"} 3\n")
	all[1].end(t)
	until(t, "the stopped member", stands(membership.Alive, membership.Gone, membership.Alive))
	require.Len(t, status(t, all[0]).Replicas, 3, "the membership group does not change the voters")
	// A replica that has left the group does not report the last states that it saw.
	code, text = call(t, "POST", all[0].cfg.Listen, listserver.MembersPath+"/leave", "")
	require.Less(t, code, 300, text)
	require.True(t, stands(listserver.UnknownMember, listserver.UnknownMember, listserver.UnknownMember)())
}

// The number of watches of /members is limited, and HEAD requests cannot open one.
func TestMembers_watchLimit(t *testing.T) {
	one := cluster(t, 1, func(c *Config) { withMembers(t, c, "127.0.0.1:0", "127.0.0.1:1") })[0]
	until(t, "the membership group", func() bool {
		return func() bool { code, _ := call(t, "GET", one.cfg.Listen, listserver.MembersPath, ""); return code == 200 }()
	})
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range listserver.MemberWatchers + 1 {
		resp, err := client.Get("http://" + one.cfg.Listen + listserver.MembersPath + "?watch=1")
		require.NoError(t, err)
		defer resp.Body.Close()
		require.Equal(t, i == listserver.MemberWatchers, resp.StatusCode == 503, "watch %d: %s", i, resp.Status)
	}
	code, _ := call(t, "HEAD", one.cfg.Listen, listserver.MembersPath+"?watch=1", "")
	require.Equal(t, 405, code)
}

func TestMembers_off(t *testing.T) {
	one := cluster(t, 1, nil)[0]
	stacks := make([]byte, 1<<20)
	until(t, "no goroutine of memberlist, also none of earlier tests", func() bool {
		return !strings.Contains(string(stacks[:runtime.Stack(stacks, true)]), "memberlist")
	})
	code, _ := call(t, "GET", one.cfg.Listen, listserver.MembersPath, "")
	require.Equal(t, 404, code)
	require.Equal(t, listserver.UnknownMember, status(t, one).Replicas[0].Member)
	_, text := call(t, "GET", one.cfg.Listen, "/stats", "")
	require.False(t, strings.Contains(text, "registry_members"))
}
