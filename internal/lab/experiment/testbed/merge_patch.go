package testbed

import (
	"encoding/json"
	"errors"
)

// mergePatch applies a JSON merge patch (RFC 7386) to a JSON text.
func mergePatch(text json.RawMessage, patch any) (json.RawMessage, error) {
	raw, err := json.Marshal(patch)
	if err != nil {
		return nil, err
	}
	var target, source any
	if err := errors.Join(json.Unmarshal(text, &target), json.Unmarshal(raw, &source)); err != nil {
		return nil, err
	}
	return json.Marshal(mergeValues(target, source))
}

// mergeValues applies a decoded merge patch to a decoded target.
func mergeValues(target, source any) any {
	patch, ok := source.(map[string]any)
	if !ok {
		return source
	}
	object, ok := target.(map[string]any)
	if !ok {
		object = map[string]any{}
	}
	for key, value := range patch {
		if value == nil {
			delete(object, key)
		} else {
			object[key] = mergeValues(object[key], value)
		}
	}
	return object
}
