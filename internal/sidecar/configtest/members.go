package configtest

// WithMembership sets a management address, a name and the section members in c and returns c. The member looks for
// others at the addresses in seeds.
func WithMembership(c Conf, name, bind string, seeds ...string) Conf {
	c = WithManagement(c)
	c["name"] = name
	c["members"] = map[string]any{"fleet": "f", "bind": bind, "seeds": seeds, "interval": "50ms", "admit_within": "500ms"}
	return c
}
