package simhost

import "thymechute/policy"

// requestIDs maps the simulator's request ids, its tickets, to the module's small indices, which are used
// again.
type requestIDs struct {
	byTicket map[uint64]policy.RequestID
	tickets  []uint64           // by index
	free     []policy.RequestID // indices for use again
}

func newRequestIDs() requestIDs {
	return requestIDs{byTicket: map[uint64]policy.RequestID{}}
}

// assign gives a ticket an index.
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

// release frees an index; its ticket is unknown from now on.
func (r *requestIDs) release(id policy.RequestID) {
	delete(r.byTicket, r.tickets[id])
	r.free = append(r.free, id)
}
