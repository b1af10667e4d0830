package configtest

// WithMembership is a configuration of a member; it finds others by the seeds.
func WithMembership(c Conf, name, bind string, seeds ...string) Conf {
	c = WithManagement(c)
	c["name"] = name
	c["members"] = map[string]any{"fleet": "f", "bind": bind, "seeds": seeds, "interval": "50ms", "admit_within": "500ms"}
	return c
}
