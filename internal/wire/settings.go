package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"marblelane/balance"
)

// settings is the JSON form of a profile. Unknown keys are ignored.
type settings struct {
	Classes []struct {
		Idempotency      string   `json:"effect"`
		KeyScope         string   `json:"group"`
		KeyWindow        *float64 `json:"window_ms"`
		LatencyObjective float64  `json:"on_time_ms"`
		ObjectiveStretch float64  `json:"aim_stretch"`
		Deadline         float64  `json:"hard_limit_ms"`
		PriorityWeight   *float64 `json:"worth"`
		LateWeight       float64  `json:"late_worth"`
		Stream           bool     `json:"stream"`
	} `json:"classes"`
	Tenants []struct {
		Allowance float64 `json:"allowance_per_s"`
		Quota     float64 `json:"share"`
	} `json:"tenants"`
	Discovery       string   `json:"discovery"`
	Number          int      `json:"my_number"`
	Peers           int      `json:"peers_total"`
	Zone            int      `json:"zone"`
	OverQuotaWeight *float64 `json:"over_share_worth"`
	Quantum         float64  `json:"quantum_ms"`
	Report          struct {
		Source string   `json:"via"`
		Fields []string `json:"fields"`
	} `json:"report"`
	Limits struct {
		Cancel         bool    `json:"cancel"`
		ConnectTimeout float64 `json:"connect_timeout_ms"`
		MaxAttempts    *int    `json:"max_attempts"`
		MaxRetryAfter  float64 `json:"max_retry_after_ms"`
		Messages       bool    `json:"may_tell"`
		Hedging        bool    `json:"parallel_tries"`
		HealthChecks   bool    `json:"probes"`
		RetryAfter     bool    `json:"retry_after"`
	} `json:"limits"`
	Rules struct {
		AnswerSlack       float64  `json:"answer_slack_ms"`
		PollInterval      float64  `json:"ask_within_ms"`
		SlowStartCapacity *float64 `json:"cold_from"`
		SlowStartTime     float64  `json:"cold_ms"`
		DrainGrace        float64  `json:"drain_grace_ms"`
		OverloadTime      float64  `json:"fall_ms"`
		OverloadMultiple  float64  `json:"fall_multiple"`
	} `json:"rules"`
	Goal struct { // converted to balance.Goal, so the fields have the same order; likewise Prices
		Overall     float64 `json:"whole"`
		WorstWindow float64 `json:"worst_window"`
		WorstClass  float64 `json:"worst_class"`
		WorstTenant float64 `json:"worst_tenant"`
	} `json:"result_mix"`
	Prices struct {
		CrossZone   float64 `json:"cross_zone"`
		Waste       float64 `json:"waste"`
		Handshake   float64 `json:"handshake"`
		HealthCheck float64 `json:"probe"`
		Peer        float64 `json:"peer"`
		LateFail    float64 `json:"late_fail"`
	} `json:"penalties"`
}

// idempotencyByWord maps the values of the key effect of a class.
var idempotencyByWord = map[string]balance.Idempotency{
	"read_like": balance.Idempotent, "idempotency_key": balance.IdempotentWithKey, "non_idempotent": balance.NonIdempotent,
}

// keyScopeByWord maps the values of the key group of a class.
var keyScopeByWord = map[string]balance.KeyScope{
	"": balance.KeyScopeAll, "all": balance.KeyScopeAll, "zone": balance.KeyScopeZone, "cell": balance.KeyScopeCell,
}

// reportSourceByWord maps the values of the key report.via.
var reportSourceByWord = map[string]balance.ReportSource{
	"": balance.ReportNone, "silent": balance.ReportNone,
	"piggyback": balance.ReportPiggyback, "pull": balance.ReportHealthCheck,
}

// fieldByWord maps the values of the key report.fields. Other values become balance.FieldUnknown.
var fieldByWord = map[string]balance.Field{
	"rif": balance.FieldInFlight, "q": balance.FieldQueue, "busy": balance.FieldUtil,
	"lat_ms": balance.FieldLatency, "rate": balance.FieldRate, "fail_rate": balance.FieldErrorRate,
}

// ParseSettings converts the profile of an InstanceStart to a Config.
func ParseSettings(seed uint64, profile []byte) (balance.Config, error) {
	var s settings
	if err := json.Unmarshal(profile, &s); err != nil {
		return balance.Config{}, fmt.Errorf("settings: %w", LocateJSONError(err))
	}
	cfg := balance.Config{
		Seed: seed, Number: s.Number, Peers: max(s.Peers, 1), Zone: s.Zone,
		OverQuotaWeight: valueOr(s.OverQuotaWeight, 1), Quantum: s.Quantum,
		Hedging: s.Limits.Hedging, Cancel: s.Limits.Cancel, HealthChecks: s.Limits.HealthChecks,
		Messages: s.Limits.Messages, RetryAfter: s.Limits.RetryAfter,
		MaxRetryAfter: s.Limits.MaxRetryAfter, ConnectTimeout: s.Limits.ConnectTimeout,
		MaxAttempts:       valueOr(s.Limits.MaxAttempts, 1),
		DrainGrace:        s.Rules.DrainGrace,
		SlowStartCapacity: valueOr(s.Rules.SlowStartCapacity, 1), SlowStartTime: s.Rules.SlowStartTime,
		OverloadMultiple: s.Rules.OverloadMultiple, OverloadTime: s.Rules.OverloadTime,
		PollInterval: s.Rules.PollInterval, AnswerSlack: s.Rules.AnswerSlack,
		Goal:   balance.Goal(s.Goal),
		Prices: balance.Prices(s.Prices),
	}
	switch s.Discovery {
	case "", "automatic":
	case "subscribe":
		cfg.Subscribe = true
	default:
		return cfg, fmt.Errorf("settings: discovery: unknown word %q", s.Discovery)
	}
	if err := s.checkNumbers(&cfg); err != nil {
		return cfg, err
	}
	if cfg.MaxAttempts == 0 {
		return cfg, errors.New("settings: limits.max_attempts is 0, at least 1: no request could be sent")
	}
	var ok bool
	if cfg.Reports, ok = reportSourceByWord[s.Report.Source]; !ok {
		return cfg, fmt.Errorf("settings: report.via: unknown word %q", s.Report.Source)
	}
	for _, name := range s.Report.Fields {
		cfg.Fields = append(cfg.Fields, fieldByWord[name])
	}
	for i, t := range s.Tenants {
		if t.Allowance < 0 {
			return cfg, negativeError(fmt.Sprintf("tenants[%d].allowance_per_s", i), t.Allowance)
		}
		if t.Quota < 0 {
			return cfg, negativeError(fmt.Sprintf("tenants[%d].share", i), t.Quota)
		}
		cfg.Tenants = append(cfg.Tenants, balance.Tenant{Allowance: t.Allowance, Quota: t.Quota})
	}
	return cfg, s.addClasses(&cfg)
}

// checkNumbers returns an error for the first negative number.
func (s *settings) checkNumbers(cfg *balance.Config) error {
	for _, number := range []struct {
		key   string
		value float64
	}{
		{"quantum_ms", s.Quantum}, {"over_share_worth", cfg.OverQuotaWeight},
		{"limits.connect_timeout_ms", s.Limits.ConnectTimeout}, {"limits.max_attempts", float64(cfg.MaxAttempts)},
		{"limits.max_retry_after_ms", s.Limits.MaxRetryAfter}, {"rules.answer_slack_ms", s.Rules.AnswerSlack},
		{"rules.ask_within_ms", s.Rules.PollInterval}, {"rules.cold_from", cfg.SlowStartCapacity},
		{"rules.cold_ms", s.Rules.SlowStartTime}, {"rules.drain_grace_ms", s.Rules.DrainGrace},
		{"rules.fall_ms", s.Rules.OverloadTime}, {"rules.fall_multiple", s.Rules.OverloadMultiple},
		{"result_mix.whole", s.Goal.Overall}, {"result_mix.worst_window", s.Goal.WorstWindow},
		{"result_mix.worst_class", s.Goal.WorstClass}, {"result_mix.worst_tenant", s.Goal.WorstTenant},
		{"penalties.cross_zone", s.Prices.CrossZone}, {"penalties.probe", s.Prices.HealthCheck},
		{"penalties.waste", s.Prices.Waste}, {"penalties.handshake", s.Prices.Handshake},
		{"penalties.peer", s.Prices.Peer}, {"penalties.late_fail", s.Prices.LateFail},
	} {
		if number.value < 0 {
			return negativeError(number.key, number.value)
		}
	}
	return nil
}

// addClasses converts the request classes.
func (s *settings) addClasses(cfg *balance.Config) error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: no classes")
	}
	for i, c := range s.Classes {
		key := func(name string) string { return fmt.Sprintf("classes[%d].%s", i, name) }
		idempotency, ok := idempotencyByWord[c.Idempotency]
		if !ok {
			return fmt.Errorf("settings: %s: unknown word %q", key("effect"), c.Idempotency)
		}
		keyScope, ok := keyScopeByWord[c.KeyScope]
		if !ok {
			return fmt.Errorf("settings: %s: unknown word %q", key("group"), c.KeyScope)
		}
		if !(c.Deadline > 0) {
			return fmt.Errorf("settings: %s is %v, not over 0", key("hard_limit_ms"), c.Deadline)
		}
		for name, v := range map[string]float64{
			"on_time_ms": c.LatencyObjective, "aim_stretch": c.ObjectiveStretch, "worth": valueOr(c.PriorityWeight, 0),
			"late_worth": c.LateWeight, "window_ms": valueOr(c.KeyWindow, 0),
		} {
			if v < 0 {
				return negativeError(key(name), v)
			}
		}
		objective := c.LatencyObjective
		if objective == 0 {
			objective = c.Deadline
		}
		cfg.Classes = append(cfg.Classes, balance.Class{
			Idempotency: idempotency, KeyScope: keyScope, KeyWindow: valueOr(c.KeyWindow, math.Inf(1)),
			LatencyObjective: objective, ObjectiveStretch: c.ObjectiveStretch,
			Deadline: c.Deadline, PriorityWeight: valueOr(c.PriorityWeight, 1), LateWeight: c.LateWeight, Stream: c.Stream,
		})
	}
	return nil
}

// negativeError returns the error for a negative number, with its key.
func negativeError(key string, v float64) error { return fmt.Errorf("settings: %s is %v", key, v) }

// LocateJSONError adds the position to an error of encoding/json: the key, or the byte offset if there is no key.
func LocateJSONError(err error) error {
	var mistyped *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &mistyped) && mistyped.Field != "":
		return fmt.Errorf("%s: a %s where a %s should be", mistyped.Field, mistyped.Value, mistyped.Type)
	case errors.As(err, &syntax):
		return fmt.Errorf("byte %d: %w", syntax.Offset, err)
	}
	return err
}

// valueOr returns the value, or the default if the key is missing.
func valueOr[T any](v *T, defaultValue T) T {
	if v == nil {
		return defaultValue
	}
	return *v
}
