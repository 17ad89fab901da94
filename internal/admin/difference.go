package admin

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
)

// difference describes the effect of a change, one line per object.
func difference(before, after *config.Snapshot, mutations []*apiv1.Mutation) []string {
	var lines []string
	for _, mutation := range mutations {
		from := before.Object(mutation.Kind, mutation.Name)
		to := after.Object(mutation.Kind, mutation.Name)
		object := config.KindName(mutation.Kind) + "/" + mutation.Name
		switch {
		case to == nil:
			lines = append(lines, "delete "+object)
		case from == nil:
			lines = append(lines, "create "+object)
		case sameSpec(from, to):
			lines = append(lines, "keep   "+object)
		default:
			lines = append(lines, "update "+object+changedFields(from, to))
		}
	}
	return lines
}

// sameSpec reports whether two objects are equal apart from their versions.
func sameSpec(a, b *apiv1.Object) bool {
	a, b = proto.CloneOf(a), proto.CloneOf(b)
	a.Version, b.Version = 0, 0
	return proto.Equal(a, b)
}

// changedFields lists the fields of the spec that differ, with their old and
// new values.
func changedFields(from, to *apiv1.Object) string {
	text := ""
	a, b := spec(from), spec(to)
	fields := a.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !a.Get(field).Equal(b.Get(field)) {
			text += fmt.Sprintf("; %s: %s -> %s", field.Name(), fieldText(a, field), fieldText(b, field))
		}
	}
	return text
}

// fieldText formats a field's value. Enum values are written by name, as in
// manifests.
func fieldText(message protoreflect.Message, field protoreflect.FieldDescriptor) string {
	value := message.Get(field)
	switch {
	case field.IsList():
		return fmt.Sprint(listText(value.List()))
	case field.Enum() != nil:
		return string(field.Enum().Values().ByNumber(value.Enum()).Name())
	default:
		return fmt.Sprintf("%v", value.Interface())
	}
}

func listText(list protoreflect.List) []string {
	texts := make([]string, list.Len())
	for i := range texts {
		texts[i] = list.Get(i).String()
	}
	return texts
}

// spec returns the message that is set in the object's spec oneof.
func spec(obj *apiv1.Object) protoreflect.Message {
	message := obj.ProtoReflect()
	oneof := message.Descriptor().Oneofs().ByName("spec")
	return message.Get(message.WhichOneof(oneof)).Message()
}
