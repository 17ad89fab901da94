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

// Holding describes one item at an endpoint: its memory, the state in the
// newest report, and the orders for it that may still take effect.
type Holding struct {
	// Bytes is the memory that the item takes, or may take once loaded.
	Bytes int64
	// State is the reported state. It is empty if the report doesn't list the
	// item.
	State engineapi.ItemState
	// MayAppear is set while a load order of any owner may still take effect.
	MayAppear bool
	// MayVanish is set while an unload order of any owner may still take effect.
	MayVanish bool
	// Coming is set while a load that this owner planned or ordered has not
	// ended.
	Coming bool
	// Going is set while an unload that this owner planned or ordered has not
	// ended.
	Going bool
}

// Secure reports whether the item is ready and no order in flight can remove it.
func (h Holding) Secure() bool { return h.State == engineapi.ItemReady && !h.MayVanish }

// Present reports whether the item is ready or being loaded, and no unload of it
// is pending.
func (h Holding) Present() bool {
	return !h.Going && (h.State == engineapi.ItemReady || h.State == engineapi.ItemLoading || h.Coming)
}

// Account is an upper bound on an endpoint's memory use: the newest report plus
// every order that may still take effect. The zero value is the account of an
// endpoint without memory.
type Account struct {
	Limits Limits
	// Models is the memory counted for models, in bytes.
	Models int64
	// Adapter is the memory counted for adapters, in bytes.
	Adapter int64
	Items   map[Item]Holding
}

// NewAccount returns the account of an endpoint. Each item is counted once, with
// the larger of its reported memory and that of any load that may still take
// effect. Reported memory that belongs to no item is counted for models. Memory
// counts as used until a report shows that it is free. An order of the given
// sender marks its item as Coming or Going until the order has ended.
func NewAccount(limits Limits, report *engineapi.Report, intents *Intents, sender string) Account {
	account := Account{Limits: limits, Items: make(map[Item]Holding)}
	reported := int64(0)
	for _, held := range report.Models {
		reported += held.Bytes
		account.Items[Item{Model: held.Model, Version: held.Version}] = Holding{Bytes: held.Bytes, State: held.State}
	}
	for _, held := range report.Adapters {
		reported += held.Bytes
		account.Items[Item{Model: held.Model, Adapter: held.Adapter}] = Holding{Bytes: held.Bytes, State: held.State}
	}
	account.addOrders(intents.Orders, report.Incarnation, sender)
	for item, holding := range account.Items {
		account.add(item, holding.Bytes)
	}
	account.Models += max(0, report.UsedBytes-reported)
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
		holding := a.Items[order.Item]
		active := !order.Ended && order.Sender == sender
		if order.IsLoad() {
			holding.MayAppear = true
			holding.Coming = holding.Coming || active
			holding.Bytes = max(holding.Bytes, order.Bytes)
		} else {
			holding.MayVanish = true
			holding.Going = holding.Going || active
		}
		a.Items[order.Item] = holding
	}
}

func (a *Account) add(item Item, bytes int64) {
	if item.IsAdapter() {
		a.Adapter += bytes
		return
	}
	a.Models += bytes
}

// Free returns the bytes left for adapters if item is an adapter, else those
// left for models. It is negative if the limit was lowered below the memory in
// use.
func (a *Account) Free(item Item) int64 {
	if item.IsAdapter() {
		return a.Limits.AdapterBytes - a.Adapter
	}
	return a.Limits.ModelBytes - a.Models
}

// Fits reports whether a load of the item with the given size stays within the
// limits. Memory that is already counted for the item is not needed again.
func (a *Account) Fits(item Item, bytes int64) bool {
	needed := bytes - a.Items[item].Bytes
	return needed <= 0 || needed <= a.Free(item)
}

// Load adds a pending load of the item to the account.
func (a *Account) Load(item Item, bytes int64) {
	holding := a.Items[item]
	if bytes > holding.Bytes {
		a.add(item, bytes-holding.Bytes)
		holding.Bytes = bytes
	}
	holding.MayAppear = true
	holding.Coming = true
	a.Items[item] = holding
}

// Unload marks an unload of the item as pending. The item's memory remains
// counted.
func (a *Account) Unload(item Item) {
	holding := a.Items[item]
	holding.MayVanish = true
	holding.Going = true
	a.Items[item] = holding
}

// WithinLimits reports whether the counted memory is within both limits.
func (a *Account) WithinLimits() bool {
	return a.Models <= a.Limits.ModelBytes && a.Adapter <= a.Limits.AdapterBytes
}
