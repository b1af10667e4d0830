package balance

// This file checks the settings that a balancer is made with.

import (
	"errors"
	"fmt"
	"math"
)

// check tells which field of the settings cannot be, if any.
func (c *Config) check() error {
	type figure struct {
		name string
		v    float64
	}
	list := []figure{
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
	if len(c.Classes) == 0 {
		return errors.New("no Classes")
	}
	for i := range c.Classes {
		k, name := &c.Classes[i], fmt.Sprintf("Classes[%d].", i)
		if k.Idempotency > NonIdempotent || k.KeyScope > KeyScopeCell || !(k.Deadline > 0) {
			return fmt.Errorf("%sIdempotency, KeyScope or Deadline cannot be: %+v", name, *k)
		}
		list = append(list,
			figure{name + "LatencyObjective", k.LatencyObjective}, figure{name + "Deadline", k.Deadline},
			figure{name + "PriorityWeight", k.PriorityWeight}, figure{name + "LateWeight", k.LateWeight},
			figure{name + "ObjectiveStretch", k.ObjectiveStretch},
			figure{name + "KeyWindow", math.Min(k.KeyWindow, math.MaxFloat64)})
	}
	for i := range c.Tenants {
		name := fmt.Sprintf("Tenants[%d].", i)
		list = append(list,
			figure{name + "Allowance", c.Tenants[i].Allowance}, figure{name + "Quota", c.Tenants[i].Quota})
	}
	for _, f := range list {
		if !(f.v >= 0) || math.IsInf(f.v, 0) {
			return fmt.Errorf("%s is %v", f.name, f.v)
		}
	}
	return nil
}

// region of a zone; one that the settings do not know is in the first.
func (c *Config) region(zone int) int {
	if zone >= 0 && zone < len(c.Regions) {
		return c.Regions[zone]
	}
	return 0
}
