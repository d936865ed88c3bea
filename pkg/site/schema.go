package site

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"time"

	"github.com/invopop/jsonschema"
)

// Schema returns a JSON schema (draft 2020-12) for declaration files. It requires no field, because a base file and an
// overlay each hold only a part of the declarations. Load validates the merged result.
func Schema() ([]byte, error) {
	r := jsonschema.Reflector{
		FieldNameTag:               "yaml",
		RequiredFromJSONSchemaTags: true,
		Mapper:                     textTypeSchema,
	}
	b, err := json.MarshalIndent(r.Reflect(&Declarations{}), "", "  ")
	if err != nil {
		return nil, &Error{Op: "schema", Kind: KindEncoding, Err: err}
	}
	return append(b, '\n'), nil
}

// textTypeSchema returns the schema of a type that is written as text, and nil for all others. It sets examples and no
// description, because the reflector overwrites descriptions.
func textTypeSchema(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[time.Duration]():
		return &jsonschema.Schema{Type: "string", Pattern: `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`,
			Examples: []any{"500ms", "10s", "24h"}}
	case reflect.TypeFor[netip.AddrPort]():
		return &jsonschema.Schema{Type: "string", Examples: []any{"10.0.0.1:7000", "[fd00::1]:7000"}}
	case reflect.TypeFor[KeyDigest]():
		return &jsonschema.Schema{Type: "string", Pattern: "^[0-9a-fA-F]{64}$"}
	case reflect.TypeFor[Role]():
		return &jsonschema.Schema{Type: "string", Enum: []any{RoleMixed, RolePrefill, RoleDecode}}
	}
	return nil
}
