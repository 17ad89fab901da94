package edge

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// writeStored writes a value in place of an object as last read or written, which has no
// name if there was none. It returns the object as it is now; without a name if the store
// lost it in a restore from an older copy. replaced is set if another host has written the
// object in between, so that nothing was written.
func writeStored(ctx context.Context, store objectstore.Store, kind objectstore.Kind, name string, known objectstore.Object, value json.RawMessage) (current objectstore.Object, replaced bool, err error) {
	writeID := uuid.NewString()
	if known.Name != "" {
		current, err = store.Update(ctx, kind, name, known.Version, writeID, value)
	} else {
		current, err = store.Create(ctx, kind, name, writeID, value)
	}
	var conflict *objectstore.ConflictError
	var notFound *objectstore.NotFoundError
	switch {
	case errors.As(err, &conflict) && conflict.Current.WriteID != writeID:
		return conflict.Current, true, nil
	case errors.As(err, &conflict): // the response to an earlier send of this write was lost
		current = conflict.Current
	case errors.As(err, &notFound):
		return objectstore.Object{}, false, nil
	case err != nil:
		return known, false, err
	}
	current.Value = value
	return current, false, nil
}
