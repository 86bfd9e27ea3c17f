// This file owns the indices of classes and tenants: a name has one for as long as it is in force or something of it is
// in hand. It must never give an index to two names at one time.

package node

import "thymechute/policy/settings"

// resource is a class or a tenant.
type resource interface{ ResourceName() string }

// table is of one kind. Its rows are as many as were in force and in hand at one time: the settings' bounds, and one more
// for each request or key of a removed resource. A removed resource leaves it with its last use, and its index is given
// to the next.
type table[T resource] struct {
	inForce map[string]int32 // at most settings.MaxClasses or settings.MaxTenants; emptied by remove
	retired map[string]int32 // removed with something in hand; emptied by the last done, or by set
	rows    []row[T]
	free    []int32 // rows of nobody; emptied by set
}

type row[T resource] struct {
	value   T
	uses    int32 // requests and keys in hand
	retired bool
}

// newTable numbers the resources by their place; what has no name can't be asked for, and has none.
func newTable[T resource](list []T) *table[T] {
	t := &table[T]{inForce: make(map[string]int32, len(list)), retired: map[string]int32{}, rows: make([]row[T], 0, len(list))}
	for _, value := range list {
		if value.ResourceName() != "" {
			t.set(value)
		}
	}
	return t
}

// find is the index of what is in force under that name.
func (t *table[T]) find(name string) (int, bool) {
	index, ok := t.inForce[name]
	return int(index), ok
}

// at is the resource of an index, in force or retired.
func (t *table[T]) at(index int) *T { return &t.rows[index].value }

// known is the resource of that name, in force or retired; nil: none.
func (t *table[T]) known(name string) *T {
	index, ok := t.inForce[name]
	if !ok {
		if index, ok = t.retired[name]; !ok {
			return nil
		}
	}
	return t.at(int(index))
}

// set puts a resource in force: in its own row where it has one, else in a free one or the next.
func (t *table[T]) set(value T) int {
	name := value.ResourceName()
	index, ok := t.inForce[name]
	if !ok {
		if index, ok = t.retired[name]; ok {
			delete(t.retired, name)
		} else {
			index = t.take()
		}
		t.inForce[name] = index
	}
	row := &t.rows[index]
	row.value, row.retired = value, false
	return int(index)
}

// take is the index of a row of nobody.
func (t *table[T]) take() int32 {
	if last := len(t.free) - 1; last >= 0 {
		index := t.free[last]
		t.free = t.free[:last]
		return index
	}
	t.rows = append(t.rows, row[T]{})
	return int32(len(t.rows) - 1)
}

// remove takes a name out of force; freed tells that nothing of it is in hand and its index is anybody's.
func (t *table[T]) remove(name string) (index int, freed bool) {
	at, ok := t.inForce[name]
	if !ok {
		return -1, false
	}
	delete(t.inForce, name)
	row := &t.rows[at]
	row.retired = true
	if row.uses > 0 {
		t.retired[name] = at
		return int(at), false
	}
	t.release(at)
	return int(at), true
}

// use notes something in hand.
func (t *table[T]) use(index int) { t.rows[index].uses++ }

// done notes its end; freed as above.
func (t *table[T]) done(index int) (freed bool) {
	row := &t.rows[index]
	if row.uses--; row.uses > 0 || !row.retired {
		return false
	}
	delete(t.retired, row.value.ResourceName())
	t.release(int32(index))
	return true
}

func (t *table[T]) release(index int32) {
	t.rows[index] = row[T]{}
	t.free = append(t.free, index)
}

// values are the rows in their order, free ones empty.
func (t *table[T]) values() []T {
	list := make([]T, len(t.rows))
	for index := range t.rows {
		list[index] = t.rows[index].value
	}
	return list
}

// grows is by how many the changes make the table longer.
func (t *table[T]) grows(c settings.Changes[T]) int {
	more := 0
	for _, value := range c.Set {
		if _, ok := t.inForce[value.ResourceName()]; !ok {
			more++
		}
	}
	for _, name := range c.Removed {
		if _, ok := t.inForce[name]; ok {
			more--
		}
	}
	return more
}
