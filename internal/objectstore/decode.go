package objectstore

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/rawjson"
)

// decodeText decodes the body of a response. Objects, listings and the host list are split
// first, since encoding/json rejects the whole text for one value that is nested too deeply.
func (c *Client) decodeText(text []byte, kind Kind, result any) error {
	switch result := result.(type) {
	case *Object:
		return decodeObject(text, result)
	case *Listing:
		return c.decodeListing(text, kind, result)
	case *[]ListedHost:
		return c.decodeHosts(text, result)
	default:
		return json.Unmarshal(text, result)
	}
}

// decodeObject decodes all of an object but its value, which another writer may have
// written.
func decodeObject(text []byte, object *Object) error {
	return rawjson.Object(text, func(name string, value json.RawMessage) error {
		switch name {
		case "kind":
			return json.Unmarshal(value, &object.Kind)
		case "name":
			return json.Unmarshal(value, &object.Name)
		case "version":
			return json.Unmarshal(value, &object.Version)
		case "writeId":
			return json.Unmarshal(value, &object.WriteID)
		case "value":
			object.Value = bytes.Clone(value) // not to keep the whole response in memory
		}
		return nil
	})
}

// decodeListing decodes a listing without the items that can't be decoded, which it logs.
func (c *Client) decodeListing(text []byte, kind Kind, listing *Listing) error {
	return rawjson.Object(text, func(name string, value json.RawMessage) error {
		switch name {
		case "version":
			return json.Unmarshal(value, &listing.Version)
		case "items":
			if string(value) == "null" {
				return nil
			}
			return rawjson.Array(value, func(item json.RawMessage) error {
				var object Object
				if err := decodeObject(item, &object); err != nil {
					object.Kind, object.Value = kind, nil
					c.ignore(object, err)
					return nil
				}
				listing.Items = append(listing.Items, object)
				return nil
			})
		}
		return nil
	})
}

// kindHosts stands for the host list in logs.
const kindHosts Kind = "hosts"

// decodeHosts decodes the host list. Entries whose names can't be decoded are left out and
// logged; those with another fault are kept by their names alone, since a host that the list
// omits loses its shares.
func (c *Client) decodeHosts(text []byte, hosts *[]ListedHost) error {
	return rawjson.Object(text, func(name string, value json.RawMessage) error {
		if name != "hosts" || string(value) == "null" {
			return nil
		}
		return rawjson.Array(value, func(entry json.RawMessage) error {
			var host ListedHost
			err := json.Unmarshal(entry, &host)
			if err == nil && host.Name == "" {
				err = errors.New("the host has no name")
			}
			if err != nil {
				host = ListedHost{Name: hostName(entry)}
				c.ignore(Object{Kind: kindHosts, Name: host.Name}, err)
			}
			if host.Name != "" {
				*hosts = append(*hosts, host)
			}
			return nil
		})
	})
}

// hostName returns the name in an entry of the host list, or "" if it can't be decoded.
func hostName(entry json.RawMessage) (name string) {
	_ = rawjson.Object(entry, func(member string, value json.RawMessage) error {
		if member == "name" && json.Unmarshal(value, &name) != nil {
			name = ""
		}
		return nil
	})
	return name
}

// ignore logs an entry that can't be used, once for each change of it.
func (c *Client) ignore(object Object, cause error) {
	c.ignoredMu.Lock()
	defer c.ignoredMu.Unlock()
	if c.ignored == nil {
		c.ignored = make(map[Kind]*IgnoredLog)
	}
	if c.ignored[object.Kind] == nil {
		c.ignored[object.Kind] = &IgnoredLog{}
	}
	c.ignored[object.Kind].Add(object, cause)
}
