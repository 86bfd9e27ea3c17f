package simhost

import "thymechute/policy"

// requestIDs maps tickets, the simulator's ids of requests, to the instance's request ids. Released request ids are
// reused, so that the table does not grow beyond the highest number of requests open at once.
type requestIDs struct {
	byTicket map[uint64]policy.RequestID
	tickets  []uint64           // by request id
	free     []policy.RequestID // released request ids
}

func newRequestIDs() requestIDs {
	return requestIDs{byTicket: map[uint64]policy.RequestID{}}
}

// assign returns a free request id for a ticket.
func (r *requestIDs) assign(ticket uint64) policy.RequestID {
	var id policy.RequestID
	if last := len(r.free) - 1; last >= 0 {
		id = r.free[last]
		r.free = r.free[:last]
		r.tickets[id] = ticket
	} else {
		id = policy.RequestID(len(r.tickets))
		r.tickets = append(r.tickets, ticket)
	}
	r.byTicket[ticket] = id
	return id
}

// release frees a request id and forgets its ticket.
func (r *requestIDs) release(id policy.RequestID) {
	delete(r.byTicket, r.tickets[id])
	r.free = append(r.free, id)
}
