package amqp

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

const (
	maxTextBytes        = 128
	maxNumberBytes      = 30
	maxUnixMilliseconds = 1e14
	headerFieldPrefix   = "header:"

	// AMQP message priorities are 0 to 9. fieldValue scales them to numbers from 0 to under 1.
	maxMessagePriority = 9
	priorityLevels     = 10
)

// fieldValue returns the value of the property with that name or, after the prefix "header:", of the header; nil if there is none.
func fieldValue(d *amqp.Delivery, field string) any {
	if header, ok := strings.CutPrefix(field, headerFieldPrefix); ok {
		return d.Headers[header]
	}
	switch field {
	case "timestamp":
		if d.Timestamp.IsZero() {
			return nil
		}
		return d.Timestamp
	case "priority":
		return float64(min(d.Priority, maxMessagePriority)) / priorityLevels
	}
	if text := textProperty(d, field); text != "" {
		return text
	}
	return nil
}

// textProperty returns the value of a string property, empty if there is none.
func textProperty(d *amqp.Delivery, name string) string {
	switch name {
	case "type":
		return d.Type
	case "message-id":
		return d.MessageId
	case "correlation-id":
		return d.CorrelationId
	case "user-id":
		if d.UserId != "" {
			return d.UserId
		}
		userID, _ := d.Headers[userIDHeader].(string)
		return userID
	case "app-id":
		return d.AppId
	case "expiration":
		return d.Expiration
	}
	return ""
}

// textField returns the value of a field that must be a string of one line; empty if there is none.
func textField(d *amqp.Delivery, field string) (string, error) {
	switch value := fieldValue(d, field).(type) {
	case nil:
		return "", nil
	case string:
		if len(value) <= maxTextBytes && !strings.ContainsAny(value, "\x00\r\n") {
			return value, nil
		}
	}
	return "", &FieldError{Field: field, Expected: fmt.Sprintf("a text of at most %d bytes in one line", maxTextBytes)}
}

// numberField returns the value of a field that holds any numeric type or a decimal string; ok is false if there is none.
func numberField(d *amqp.Delivery, field string) (number float64, ok bool, err error) {
	invalid := &FieldError{Field: field, Expected: "a number"}
	switch value := fieldValue(d, field).(type) {
	case nil:
		return 0, false, nil
	case string:
		number, err = strconv.ParseFloat(value, 64)
		if err != nil || len(value) > maxNumberBytes {
			return 0, false, invalid
		}
	case float64:
		number = value
	case float32:
		number = float64(value)
	case int64:
		number = float64(value)
	case int32:
		number = float64(value)
	case int16:
		number = float64(value)
	case int8:
		number = float64(value)
	case byte:
		number = float64(value)
	default:
		return 0, false, invalid
	}
	return number, true, nil
}

// timeField returns the value of a field that holds a timestamp or a number of Unix milliseconds; ok is false if there is none.
func timeField(d *amqp.Delivery, field string) (at time.Time, ok bool, err error) {
	if at, ok := fieldValue(d, field).(time.Time); ok {
		return at, true, nil
	}
	milliseconds, ok, err := numberField(d, field)
	if err != nil || milliseconds < 0 || milliseconds > maxUnixMilliseconds {
		return time.Time{}, false, &FieldError{Field: field, Expected: "a time"}
	}
	return time.UnixMilli(int64(milliseconds)), ok, nil
}
