package node

import "thymechute/policy/settings"

// resource is a class or a tenant.
type resource interface{ ResourceName() string }

// resourceTable assigns stable indices to the resources of one kind. A resource keeps its index while it is in force and, after
// its removal, while requests or keys refer to it. After that the index is reused, so the table has at most as many rows as
// there were resources in force or referred to at any one time.
type resourceTable[T resource] struct {
	active   map[string]int32 // indices of resources in force, by name; at most settings.MaxClasses or settings.MaxTenants
	retired  map[string]int32 // indices of removed resources with references left, by name
	rows     []resourceRow[T]
	freeRows []int32
}

type resourceRow[T resource] struct {
	value      T
	references int32 // number of requests and keys that refer to it
	retired    bool
}

// newResourceTable returns a table of the resources, with indices in their order. It leaves out resources without a name, as no
// request can refer to them.
func newResourceTable[T resource](resources []T) *resourceTable[T] {
	t := &resourceTable[T]{
		active:  make(map[string]int32, len(resources)),
		retired: map[string]int32{},
		rows:    make([]resourceRow[T], 0, len(resources)),
	}
	for _, value := range resources {
		if value.ResourceName() != "" {
			t.set(value)
		}
	}
	return t
}

// findActive returns the index of the resource in force under the name.
func (t *resourceTable[T]) findActive(name string) (int, bool) {
	index, ok := t.active[name]
	return int(index), ok
}

// at returns the resource of an index, in force or retired.
func (t *resourceTable[T]) at(index int) *T { return &t.rows[index].value }

// findAny returns the resource of that name, in force or retired, or nil if there is none.
func (t *resourceTable[T]) findAny(name string) *T {
	index, ok := t.active[name]
	if !ok {
		index, ok = t.retired[name]
	}
	if !ok {
		return nil
	}
	return t.at(int(index))
}

// set puts a resource in force and returns its index, which is the existing one if the name has one.
func (t *resourceTable[T]) set(value T) int {
	index := t.activate(value.ResourceName())
	row := &t.rows[index]
	row.value = value
	row.retired = false
	return int(index)
}

// activate makes the name active and returns its index.
func (t *resourceTable[T]) activate(name string) int32 {
	index, ok := t.active[name]
	if ok {
		return index
	}
	index, ok = t.retired[name]
	if ok {
		delete(t.retired, name)
	} else {
		index = t.allocate()
	}
	t.active[name] = index
	return index
}

// allocate returns the index of a free row.
func (t *resourceTable[T]) allocate() int32 {
	if last := len(t.freeRows) - 1; last >= 0 {
		index := t.freeRows[last]
		t.freeRows = t.freeRows[:last]
		return index
	}
	t.rows = append(t.rows, resourceRow[T]{})
	return int32(len(t.rows) - 1)
}

// remove takes a resource out of force. isFreed reports that nothing refers to it, so that its index was freed.
func (t *resourceTable[T]) remove(name string) (index int, isFreed bool) {
	active, ok := t.active[name]
	if !ok {
		return -1, false
	}
	delete(t.active, name)
	row := &t.rows[active]
	row.retired = true
	if row.references > 0 {
		t.retired[name] = active
		return int(active), false
	}
	t.freeRow(active)
	return int(active), true
}

// addReference counts a request or key that refers to the resource.
func (t *resourceTable[T]) addReference(index int) { t.rows[index].references++ }

// dropReference undoes addReference. isFreed reports that it was the last reference to a retired resource, whose index was
// freed.
func (t *resourceTable[T]) dropReference(index int) (isFreed bool) {
	row := &t.rows[index]
	row.references--
	if row.references > 0 || !row.retired {
		return false
	}
	delete(t.retired, row.value.ResourceName())
	t.freeRow(int32(index))
	return true
}

func (t *resourceTable[T]) freeRow(index int32) {
	t.rows[index] = resourceRow[T]{}
	t.freeRows = append(t.freeRows, index)
}

// values returns the resources by index, with zero values for free rows.
func (t *resourceTable[T]) values() []T {
	values := make([]T, len(t.rows))
	for index := range t.rows {
		values[index] = t.rows[index].value
	}
	return values
}

// growth returns by how much the changes increase the number of resources in force. It is negative if they decrease it.
func (t *resourceTable[T]) growth(changes settings.Changes[T]) int {
	added := 0
	for _, value := range changes.Set {
		if _, ok := t.active[value.ResourceName()]; !ok {
			added++
		}
	}
	for _, name := range changes.Removed {
		if _, ok := t.active[name]; ok {
			added--
		}
	}
	return added
}
