package placement

import (
	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// Limits are the memory limits of an endpoint in bytes. A part of the memory is
// reserved for adapters; models use the rest.
type Limits struct {
	ModelBytes   int64
	AdapterBytes int64
}

// ItemStatus describes one item at an endpoint: its memory, the state in the
// newest report, and the orders for it that may still take effect.
type ItemStatus struct {
	// Bytes is the memory that the item takes, or may take once loaded.
	Bytes int64
	// State is the reported state. It is empty if the report doesn't list the
	// item.
	State engineapi.ItemState
	// LoadInFlight is set while a load order of any owner may still take
	// effect.
	LoadInFlight bool
	// UnloadInFlight is set while an unload order of any owner may still take
	// effect, and in a plan once the plan unloads the item.
	UnloadInFlight bool
	// LoadPending is set while a load that this owner planned or ordered has
	// not ended.
	LoadPending bool
	// UnloadPending is set while an unload that this owner planned or ordered
	// has not ended.
	UnloadPending bool
}

// Stable reports whether the item is ready and no order in flight can remove it.
func (s ItemStatus) Stable() bool { return s.State == engineapi.ItemReady && !s.UnloadInFlight }

// Present reports whether the item is ready or being loaded, and no unload of it
// is pending.
func (s ItemStatus) Present() bool {
	return !s.UnloadPending && (s.State == engineapi.ItemReady || s.State == engineapi.ItemLoading || s.LoadPending)
}

// Account is an upper bound on an endpoint's memory use: the newest report plus
// every order that may still take effect. The zero value is the account of an
// endpoint without memory.
type Account struct {
	Limits Limits
	// CountedModelBytes is the memory counted for models, in bytes.
	CountedModelBytes int64
	// CountedAdapterBytes is the memory counted for adapters, in bytes.
	CountedAdapterBytes int64
	Items               map[Item]ItemStatus
}

// NewAccount returns the account of an endpoint. Each item is counted once, with
// the larger of its reported memory and that of any load that may still take
// effect. Reported memory that belongs to no item is counted for models. Memory
// counts as used until a report shows that it is free. An order of the given
// sender sets LoadPending or UnloadPending of its item until the order has ended.
func NewAccount(limits Limits, report *engineapi.Report, intents *Intents, sender string) Account {
	account := Account{Limits: limits, Items: make(map[Item]ItemStatus)}
	reported := int64(0)
	for _, held := range report.Models {
		reported += held.Bytes
		account.Items[Item{Model: held.Model, Version: held.Version}] = ItemStatus{Bytes: held.Bytes, State: held.State}
	}
	for _, held := range report.Adapters {
		reported += held.Bytes
		account.Items[Item{Model: held.Model, Adapter: held.Adapter}] = ItemStatus{Bytes: held.Bytes, State: held.State}
	}
	account.addOrders(intents.Orders, report.Incarnation, sender)
	for item, status := range account.Items {
		account.add(item, status.Bytes)
	}
	account.CountedModelBytes += max(0, report.UsedBytes-reported)
	return account
}

// addOrders marks the items of the orders that may still take effect, and raises
// their memory to that of the loads.
func (a *Account) addOrders(orders []Order, incarnation, sender string) {
	for i := range orders {
		order := &orders[i]
		if !order.mayTakeEffect(incarnation) {
			continue
		}
		status := a.Items[order.Item]
		active := !order.Ended && order.Sender == sender
		if order.IsLoad() {
			status.LoadInFlight = true
			status.LoadPending = status.LoadPending || active
			status.Bytes = max(status.Bytes, order.Bytes)
		} else {
			status.UnloadInFlight = true
			status.UnloadPending = status.UnloadPending || active
		}
		a.Items[order.Item] = status
	}
}

func (a *Account) add(item Item, bytes int64) {
	if item.IsAdapter() {
		a.CountedAdapterBytes += bytes
		return
	}
	a.CountedModelBytes += bytes
}

// Free returns the bytes left for adapters if item is an adapter, else those
// left for models. It is negative if the limit was lowered below the memory in
// use.
func (a *Account) Free(item Item) int64 {
	if item.IsAdapter() {
		return a.Limits.AdapterBytes - a.CountedAdapterBytes
	}
	return a.Limits.ModelBytes - a.CountedModelBytes
}

// Fits reports whether a load of the item with the given size stays within the
// limits. Memory that is already counted for the item is not needed again.
func (a *Account) Fits(item Item, bytes int64) bool {
	needed := bytes - a.Items[item].Bytes
	return needed <= 0 || needed <= a.Free(item)
}

// Load adds a pending load of the item to the account.
func (a *Account) Load(item Item, bytes int64) {
	status := a.Items[item]
	if bytes > status.Bytes {
		a.add(item, bytes-status.Bytes)
		status.Bytes = bytes
	}
	status.LoadInFlight = true
	status.LoadPending = true
	a.Items[item] = status
}

// Unload marks an unload of the item as pending. The item's memory remains
// counted.
func (a *Account) Unload(item Item) {
	status := a.Items[item]
	status.UnloadInFlight = true
	status.UnloadPending = true
	a.Items[item] = status
}

// WithinLimits reports whether the counted memory is within both limits.
func (a *Account) WithinLimits() bool {
	return a.CountedModelBytes <= a.Limits.ModelBytes && a.CountedAdapterBytes <= a.Limits.AdapterBytes
}
