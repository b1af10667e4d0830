package balance

import "fmt"

// EventError reports an invalid event, which has left the balancer unchanged. Callers find it in the error of
// Handle with errors.As.
type EventError struct {
	Event  string // name of the event's type
	Field  string // path of the field, such as "List[0].CanaryFraction"
	Value  any    // value of the field
	Reason string // why the value is invalid; empty if the value shows it
}

func (e *EventError) Error() string {
	return describeValue(e.Event+"."+e.Field, e.Value, e.Reason)
}

// ConfigError reports an invalid setting. Callers find it in the error of New with errors.As.
type ConfigError struct {
	Field  string // path of the field, such as "Classes[0].Deadline"
	Value  any    // value of the field
	Reason string // why the value is invalid; empty if the value shows it
}

func (e *ConfigError) Error() string { return describeValue(e.Field, e.Value, e.Reason) }

// describeValue returns the text of an error about a field.
func describeValue(field string, value any, reason string) string {
	text := fmt.Sprintf("%s is %v", field, value)
	if reason != "" {
		text += ", " + reason
	}
	return text
}
