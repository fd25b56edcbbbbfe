package spec

import "strconv"

// PathOf returns the path of an element, such as `Services["holds"]`,
// or the path of one of its fields if field is not empty.
func PathOf(kind, name, field string) string {
	p := kind + "[" + strconv.Quote(name) + "]"
	if field != "" {
		p += "." + field
	}
	return p
}

// The kinds of elements, which are the names of the fields of Fleet.
const (
	KindPools    = "Pools"
	KindServices = "Services"
	KindClasses  = "Classes"
	KindTenants  = "Tenants"
)
