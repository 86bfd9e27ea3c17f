package settingsjson

import (
	"encoding/json"
	"fmt"
	"slices"

	"thymechute/internal/jsonline"
	"thymechute/policy/settings"
)

// tenantChunk is the number of tenants in one chunk of decoder.tenants.
const tenantChunk = 1024

// decodeTenants decodes the list of tenants into d.tenants.
func (d *decoder) decodeTenants() error {
	d.tenants = nil
	names := newNameChecker(d, "tenants", d.hasTenant)
	var raw json.RawMessage // reused for all entries
	return d.decodeList("tenants", settings.MaxTenants, func(index int) error {
		if err := d.in.Decode(&raw); err != nil {
			return err
		}
		tenant := d.tenant(index, raw)
		names.check(index, tenant.Name)
		d.appendTenant(tenant)
		return nil
	})
}

func (d *decoder) hasTenant(name string) bool {
	hasName := func(tenant settings.Tenant) bool { return tenant.Name == name }
	return slices.ContainsFunc(d.tenants, func(chunk []settings.Tenant) bool { return slices.ContainsFunc(chunk, hasName) })
}

func (d *decoder) appendTenant(tenant settings.Tenant) {
	last := len(d.tenants) - 1
	if last < 0 || len(d.tenants[last]) == tenantChunk {
		d.tenants = append(d.tenants, make([]settings.Tenant, 0, tenantChunk))
		last++
	}
	d.tenants[last] = append(d.tenants[last], tenant)
}

// tenant returns the tenant that an entry of the list describes. The list may be long, so it is decoded by jsonline:
// encoding/json takes twice the time.
func (d *decoder) tenant(index int, raw json.RawMessage) (tenant settings.Tenant) {
	if isMissing(raw) {
		return tenant
	}
	name, quota, err := tenantFields(raw)
	if err != nil {
		d.fail(fmt.Sprint("tenants.", index), compact(raw), "an object")
	}
	if !isMissing(name) {
		text, err := jsonline.NewReader(name).ReadString()
		if err != nil {
			d.fail(fmt.Sprintf("tenants.%d.name", index), compact(name), "a string")
		}
		tenant.Name = string(text)
	}
	if quota != nil {
		value, invalid := parseNumber(quota)
		if invalid != "" {
			d.fail(fmt.Sprintf("tenants.%d.quota_per_s", index), invalid, expectedNumber)
		}
		tenant.Quota = value
	}
	return tenant
}

// tenantFields returns the JSON of the name and quota in an entry; nil if missing.
func tenantFields(raw json.RawMessage) (name, quota []byte, err error) {
	entry := jsonline.NewReader(raw)
	err = entry.ReadObject(func(key []byte) (err error) {
		switch string(key) {
		case "name":
			name, err = entry.ReadRaw()
		case "quota_per_s":
			quota, err = entry.ReadRaw()
		default:
			_, err = entry.ReadRaw()
		}
		return err
	})
	return name, quota, err
}
