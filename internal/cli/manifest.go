package cli

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
)

// manifest is the JSON document of a file of objects.
type manifest struct {
	Objects []json.RawMessage `json:"objects"`
}

// readManifest returns the objects in a file, or in standard input if the name
// is "-". It fails at the first object that can't be decoded or has no name.
func readManifest(name string, in io.Reader) ([]*apiv1.Object, error) {
	data, err := readInput(name, in)
	if err != nil {
		return nil, &usageFault{errors.Wrapf(err, "read %s", name)}
	}
	var m manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, &usageFault{errors.Wrapf(err, `%s is not a manifest; write {"objects": [...]}`, name)}
	}
	objects := make([]*apiv1.Object, len(m.Objects))
	for i, raw := range m.Objects {
		objects[i] = &apiv1.Object{}
		if err := protojson.Unmarshal(raw, objects[i]); err != nil {
			return nil, &usageFault{errors.Wrapf(err, "%s: objects[%d]", name, i)}
		}
		if config.KeyOf(objects[i]).Name == "" {
			return nil, &usageFault{errors.Newf("%s: objects[%d] has no kind or no name; give it both", name, i)}
		}
	}
	return objects, nil
}

func readInput(name string, in io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(name)
}

// mutationsFor compares the objects with those in force and returns a mutation
// for each that differs, with the version that it replaces.
func mutationsFor(ctx context.Context, c *client, objects []*apiv1.Object) ([]*apiv1.Mutation, error) {
	current, err := currentObjects(ctx, c)
	if err != nil {
		return nil, err
	}
	var mutations []*apiv1.Mutation
	for _, object := range objects {
		key := config.KeyOf(object)
		existing := current[key]
		if sameSpec(existing, object) {
			continue
		}
		mutations = append(mutations, &apiv1.Mutation{Kind: key.Kind, Name: key.Name, ExpectedVersion: existing.GetVersion(), Object: object})
	}
	return mutations, nil
}

// currentObjects returns all objects in force on the host that responds.
func currentObjects(ctx context.Context, c *client) (map[config.ObjectKey]*apiv1.Object, error) {
	response, err := call(ctx, c, func(ctx context.Context, admin apiv1.Admin) (*apiv1.ListResponse, error) {
		return admin.List(ctx, &apiv1.ListRequest{})
	})
	if err != nil {
		return nil, err
	}
	current := make(map[config.ObjectKey]*apiv1.Object, len(response.Objects))
	for _, object := range response.Objects {
		current[config.KeyOf(object)] = object
	}
	return current, nil
}

// sameSpec reports whether two objects are equal apart from their versions. A
// nil a differs from any b.
func sameSpec(a, b *apiv1.Object) bool {
	if a == nil {
		return false
	}
	clone, _ := proto.Clone(a).(*apiv1.Object)
	clone.Version = b.GetVersion()
	return proto.Equal(clone, b)
}
