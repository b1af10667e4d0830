package balance

import (
	"fmt"
	"math"
)

// numericSetting is a numeric setting and the path of its field.
type numericSetting struct {
	path  string
	value float64
}

// check returns an error for the first invalid setting that it finds.
func (c *Config) check() error {
	if len(c.Classes) == 0 {
		return &ConfigError{Field: "Classes", Value: c.Classes, Reason: "at least one is needed"}
	}
	for i := range c.Classes {
		if err := c.Classes[i].check(fmt.Sprintf("Classes[%d].", i)); err != nil {
			return err
		}
	}
	for _, f := range c.numbers() {
		if !(f.value >= 0) || math.IsInf(f.value, 0) {
			return &ConfigError{Field: f.path, Value: f.value}
		}
	}
	return nil
}

// check returns an error if the idempotency, the key scope or the deadline is invalid. path is the prefix of the
// fields.
func (c *Class) check(path string) error {
	switch {
	case c.Idempotency > NonIdempotent:
		return &ConfigError{Field: path + "Idempotency", Value: c.Idempotency, Reason: "there is no such value"}
	case c.KeyScope > KeyScopeCell:
		return &ConfigError{Field: path + "KeyScope", Value: c.KeyScope, Reason: "there is no such value"}
	case !(c.Deadline > 0):
		return &ConfigError{Field: path + "Deadline", Value: c.Deadline, Reason: "not above 0"}
	}
	return nil
}

// numbers returns the settings that must be finite and not negative.
func (c *Config) numbers() []numericSetting {
	list := []numericSetting{
		{"Quantum", c.Quantum}, {"MaxAttempts", float64(c.MaxAttempts)}, {"MaxRetryAfter", c.MaxRetryAfter},
		{"ConnectTimeout", c.ConnectTimeout}, {"DrainGrace", c.DrainGrace}, {"SlowStartCapacity", c.SlowStartCapacity},
		{"SlowStartTime", c.SlowStartTime}, {"OverloadMultiple", c.OverloadMultiple}, {"OverloadTime", c.OverloadTime},
		{"PollInterval", c.PollInterval}, {"MaxPollBackoff", c.MaxPollBackoff},
		{"SuspectFraction", c.SuspectFraction}, {"StaleAfter", c.StaleAfter},
		{"ListServices", float64(c.ListServices)}, {"AnswerSlack", c.AnswerSlack},
		{"OverQuotaWeight", c.OverQuotaWeight},
		{"Goal.Overall", c.Goal.Overall}, {"Goal.WorstWindow", c.Goal.WorstWindow},
		{"Goal.WorstClass", c.Goal.WorstClass}, {"Goal.WorstTenant", c.Goal.WorstTenant},
		{"Prices.CrossZone", c.Prices.CrossZone}, {"Prices.Waste", c.Prices.Waste},
		{"Prices.Handshake", c.Prices.Handshake}, {"Prices.HealthCheck", c.Prices.HealthCheck},
		{"Prices.Peer", c.Prices.Peer}, {"Prices.LateFail", c.Prices.LateFail},
	}
	for i := range c.Classes {
		class, path := &c.Classes[i], fmt.Sprintf("Classes[%d].", i)
		list = append(list,
			numericSetting{path + "LatencyObjective", class.LatencyObjective},
			numericSetting{path + "Deadline", class.Deadline},
			numericSetting{path + "PriorityWeight", class.PriorityWeight},
			numericSetting{path + "LateWeight", class.LateWeight},
			numericSetting{path + "ObjectiveStretch", class.ObjectiveStretch},
			numericSetting{path + "KeyWindow", math.Min(class.KeyWindow, math.MaxFloat64)})
	}
	for i := range c.Tenants {
		path := fmt.Sprintf("Tenants[%d].", i)
		list = append(list,
			numericSetting{path + "Allowance", c.Tenants[i].Allowance},
			numericSetting{path + "Quota", c.Tenants[i].Quota})
	}
	return list
}

// region returns the region of a zone. Zones that Regions does not list are in region 0.
func (c *Config) region(zone int) int {
	if zone >= 0 && zone < len(c.Regions) {
		return c.Regions[zone]
	}
	return 0
}
