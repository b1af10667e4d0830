package balance

import "fmt"

// EventError says that an event is invalid. The balancer is unchanged by such an event. Callers find it in the error of
// Handle with errors.As.
type EventError struct {
	Event  string // name of the event's type
	Field  string // path of the field, such as "List[0].CanaryFraction"
	Value  any    // what the field holds
	Reason string // what is wrong with the value; empty if the value says it
}

func (e *EventError) Error() string {
	return describeValue(e.Event+"."+e.Field, e.Value, e.Reason)
}

// ConfigError says that a setting is invalid. Callers find it in the error of New with errors.As.
type ConfigError struct {
	Field  string // path of the field, such as "Classes[0].Deadline"
	Value  any    // what the field holds
	Reason string // what is wrong with the value; empty if the value says it
}

func (e *ConfigError) Error() string { return describeValue(e.Field, e.Value, e.Reason) }

func describeValue(field string, value any, reason string) string {
	text := fmt.Sprintf("%s is %v", field, value)
	if reason != "" {
		text += ", " + reason
	}
	return text
}
