package policy

import "time"

// Host is what an instance acts through. Every request is named by a small index that the
// adapter gives out at the door and takes back on Release. No decision is made behind it.
type Host interface {
	Start(w int)                                   // put a held request on the cores
	Stop(w int)                                    // take a running one off them
	Reject(w int, comeBack time.Duration, no bool) // unserved; no: another server won't help
	Scrap(w int)                                   // final answer: an error
	Call(w int, patience time.Duration)            // issue the call that the request stands at
	LeaveOut(w int)                                // go on without that call
	Record(w int, life time.Duration)              // enter its key entry in the key table
	Forget(w int)                                  // take the key entry out
	Join(w int)                                    // answer a repeat from its forerunner's result
	Health(good, stored bool)                      // how health checks are answered
	Idle(after time.Duration)                      // close connections idle for so long
	Free(value float64)                            // the value that rides on all answers
	Wake(at time.Duration)                         // ask for one Tick at this time
	Release(w int)                                 // the module is done with this index
	Log(format string, args ...any)                // one line to the operators
}

// Forerunners of a request that are no index.
const (
	NoForerunner   = -1 // a first arrival, as far as is known
	GoneForerunner = -2 // a repeat of one that is no longer here
)

// Request is what is known of a request when it has been read.
type Request struct {
	Class, Tenant, From int
	Waited              time.Duration // since it reached the machine
	Patience            time.Duration // what its caller still waits; 0: not told
	Repeat              bool          // marked as a further try
	Hint                time.Duration // a guess of its work; 0: none
	Forerunner          int           // index of the one it repeats, or one of the above
	Rank                float64       // place among all by value, 0 to under 1
	KB                  float64       // memory while held
}

// Outcome is how a run or a call ended.
type Outcome int

// The outcomes; what the adapter does not know is Unclear.
const (
	Unclear       Outcome = iota // it may have run
	OK                           // done
	Failed                       // it failed, and may have had its effect
	Full                         // rejected unseen
	TimedOut                     // abandoned, may have run
	ConnectFailed                // never reached what lies below
	Reset                        // broke off, may have run
	Cancelled                    // stopped, or ended at a call
	Moot                         // nothing was started
)

// NeverRan tells whether the outcome proves that nothing was done.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == Moot }

// Gauges are the machine's own readings; a negative one is not offered.
type Gauges struct{ Busy, Runnable float64 }
