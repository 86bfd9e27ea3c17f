package rpc

import (
	"math"
	"time"

	"thymechute/internal/jsonline"
)

const (
	maxBodySize        = 2 << 10          // bytes of a request's body, decoded
	maxMemoryKB        = 2000             // exclusive upper bound of a request's memory, in kB
	maxCallerNumber    = 1e9              // largest number that identifies a stub
	maxTimestamp       = 1e14             // Unix milliseconds; times in smaller units exceed it and are rejected before conversion
	maxRequestAge      = 30 * time.Second // an older time of receipt is rejected, as its age would count as waiting time
	maxClockSkew       = 5 * time.Second  // how far a time of receipt may be in the future
	maxTrackedFields   = 64               // per message; duplicates of fields beyond it are not detected
	maxRequestIDLength = 64               // bytes of a request ID
)

// requiredFields are the names of the params that every request must have.
var requiredFields = []string{"rid", "t0", "peer", "mem", "prio", "doc"}

// paramsDecoder decodes the params of one message.
type paramsDecoder struct {
	reader  *jsonline.Reader
	message *Message
	seen    map[string]bool // names of the decoded fields; at most maxTrackedFields
}

func (m *Message) decodeParams(text []byte) error {
	d := paramsDecoder{
		reader:  jsonline.NewReader(text),
		message: m,
		seen:    map[string]bool{},
	}
	if err := d.reader.ReadObject(d.decodeField); err != nil {
		return err
	}
	if m.IsHealthCheck {
		return nil
	}
	for _, name := range requiredFields {
		if !d.seen[name] {
			return &FieldError{name, errMissingField}
		}
	}
	if !isValidRequestID(string(m.Request.ID)) {
		return &FieldError{"rid", errInvalidRequestID}
	}
	return nil
}

func (d *paramsDecoder) decodeField(name []byte) error {
	if d.seen[string(name)] {
		return &FieldError{string(name), errDuplicateField}
	}
	if len(d.seen) < maxTrackedFields {
		d.seen[string(name)] = true
	}
	if err := d.decodeValue(name); err != nil {
		return &FieldError{string(name), err}
	}
	return nil
}

// decodeValue reads the value of a field. Unknown fields are ignored.
func (d *paramsDecoder) decodeValue(name []byte) (err error) {
	request := &d.message.Request
	switch string(name) {
	case "rid":
		return readString(d.reader, (*string)(&request.ID))
	case "t0":
		request.ReceivedAt, err = readTimestamp(d.reader)
	case "peer":
		request.Caller, err = readCaller(d.reader)
	case "acct":
		return readString(d.reader, &request.Tenant)
	case "again":
		request.IsRetry, err = d.reader.ReadBool()
	case "mem":
		request.MemoryKB, err = readNumber(d.reader, isValidMemory, errMemoryRange)
	case "prio":
		request.Priority, err = readNumber(d.reader, isValidPriority, errPriorityRange)
	case "token":
		return readString(d.reader, &request.Key)
	case "obj":
		return readString(d.reader, &request.Subject)
	case "doc":
		request.Body, err = d.reader.ReadBase64(maxBodySize)
	case "full":
		d.message.IsDeepCheck, err = d.reader.ReadBool()
	default:
		_, err = d.reader.ReadRaw()
	}
	return err
}

// readTimestamp reads a time in Unix milliseconds, at most maxRequestAge in the past and maxClockSkew in the future.
func readTimestamp(reader *jsonline.Reader) (time.Time, error) {
	millis, err := reader.ReadNumber()
	if err != nil {
		return time.Time{}, err
	}
	if millis < 0 || millis > maxTimestamp {
		return time.Time{}, errNotTimestamp
	}
	at := time.UnixMicro(int64(millis * 1e3))
	age := time.Since(at)
	if age > maxRequestAge || age < -maxClockSkew {
		return time.Time{}, errNotRecent
	}
	return at, nil
}

func readCaller(reader *jsonline.Reader) (int, error) {
	number, err := readNumber(reader, isValidCallerNumber, errInvalidCaller)
	return int(number), err
}

func isValidCallerNumber(number float64) bool {
	return number == math.Trunc(number) && number >= 0 && number <= maxCallerNumber
}

func isValidMemory(kilobytes float64) bool { return kilobytes > 0 && kilobytes < maxMemoryKB }

func isValidPriority(priority float64) bool { return priority >= 0 && priority < 1 }

// readNumber reads a number. It returns errInvalid for one that isValid rejects.
func readNumber(reader *jsonline.Reader, isValid func(float64) bool, errInvalid error) (float64, error) {
	number, err := reader.ReadNumber()
	if err != nil {
		return 0, err
	}
	if !isValid(number) {
		return 0, errInvalid
	}
	return number, nil
}

// isValidRequestID reports whether an ID consists of 1 to maxRequestIDLength letters, digits and hyphens, so that line-based
// protocols can carry it.
func isValidRequestID(id string) bool {
	for _, c := range []byte(id) {
		isDigit := c >= '0' && c <= '9'
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !isDigit && !isLetter && c != '-' {
			return false
		}
	}
	return len(id) > 0 && len(id) <= maxRequestIDLength
}
