package rpc

import (
	"math"
	"time"

	"thymechute/internal/jsonline"
)

const (
	maxBodySize      = 2 << 10          // bytes of a request's body, decoded
	maxMemoryKB      = 2000             // exclusive bound of a request's memory, in kB
	maxCallerNumber  = 1e9              // largest number of a stub
	maxTimestamp     = 1e14             // Unix milliseconds; rejects other units before they are converted
	maxRequestAge    = 30 * time.Second // an older time of receipt is rejected, as it would count as a wait of that length
	maxClockSkew     = 5 * time.Second  // by which a time of receipt may be in the future at most
	maxTrackedFields = 64               // per message; duplicates of further ones are not detected
	maxPlainIDLength = 64               // bytes of a request ID
)

// requiredFields are the params that every request must have.
var requiredFields = []string{"rid", "t0", "peer", "mem", "prio", "doc"}

// paramsDecoder decodes the params of one message.
type paramsDecoder struct {
	reader  *jsonline.Reader
	message *Message
	seen    map[string]bool // names of fields; bounded by maxTrackedFields
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
	if !isPlainID(string(m.Request.ID)) {
		return &FieldError{"rid", errNotPlainID}
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
		request.MemoryKB, err = readNumber(d.reader, isMemory, errMemoryRange)
	case "prio":
		request.Priority, err = readNumber(d.reader, isPriority, errNotPriority)
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

// readTimestamp reads a time in Unix milliseconds, which must be about now.
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
	number, err := readNumber(reader, isCallerNumber, errNotCaller)
	return int(number), err
}

func isCallerNumber(number float64) bool {
	return number == math.Trunc(number) && number >= 0 && number <= maxCallerNumber
}

func isMemory(kilobytes float64) bool { return kilobytes > 0 && kilobytes < maxMemoryKB }

func isPriority(priority float64) bool { return priority >= 0 && priority < 1 }

// readNumber reads a number. The error for one that is not valid is errInvalid.
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

// isPlainID reports whether an ID consists of letters, digits and hyphens, so that line protocols can carry it.
func isPlainID(id string) bool {
	for _, c := range []byte(id) {
		isDigit := c >= '0' && c <= '9'
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !isDigit && !isLetter && c != '-' {
			return false
		}
	}
	return len(id) > 0 && len(id) <= maxPlainIDLength
}
