package logstore

import (
	"fmt"

	"go.etcd.io/bbolt"

	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
)

// Departures returns the departures of backends that the file held when it was opened, sorted by id.
func (s *Store) Departures() []registry.Departure { return s.departures }

// RetainDepartures removes the departures of all backends but those with the given ids. RetainDepartures writes nothing if there is nothing to
// remove. The caller must save a soft state that no longer contains the removed backends first. Otherwise a backend that has departed would be
// ready again after a restart.
func (s *Store) RetainDepartures(ids []string) error {
	if s.file == nil {
		return nil
	}
	retained := make(map[string]bool, len(ids))
	for _, id := range ids {
		retained[id] = true
	}
	return wrapFileError("remove departures from", s.path, runRecoveringPanics(func() error {
		obsolete, err := s.departuresExcept(retained)
		if err != nil || len(obsolete) == 0 {
			return err
		}
		return s.file.Update(func(tx *bbolt.Tx) error {
			for _, id := range obsolete {
				if err := tx.Bucket(departuresBucket).Delete([]byte(id)); err != nil {
					return newDepartureError("delete", id, err)
				}
			}
			return nil
		})
	}))
}

// departuresExcept returns the ids of the stored departures that are not in retained.
func (s *Store) departuresExcept(retained map[string]bool) (ids []string, err error) {
	err = s.file.View(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(departuresBucket)
		if bucket == nil {
			return nil
		}
		return bucket.ForEach(func(key, _ []byte) error {
			if !retained[string(key)] {
				ids = append(ids, string(key))
			}
			return nil
		})
	})
	return ids, err
}

// putDepartures stores departures in a transaction. A later departure of a backend replaces an earlier one.
func putDepartures(tx *bbolt.Tx, departures []registry.Departure) error {
	if len(departures) == 0 {
		return nil
	}
	bucket, err := tx.CreateBucketIfNotExists(departuresBucket)
	if err != nil {
		return newDepartureError("create bucket", "", err)
	}
	for _, d := range departures {
		if err := putGob(bucket, []byte(d.ID), storedDeparture{Deregistered: d.Deregistered}); err != nil {
			return newDepartureError("write", d.ID, err)
		}
	}
	return nil
}

// readDepartures returns all departures of the file, sorted by id. The bucket does not exist in files of earlier versions.
func readDepartures(tx *bbolt.Tx) (departures []registry.Departure, err error) {
	bucket := tx.Bucket(departuresBucket)
	if bucket == nil {
		return nil, nil
	}
	err = bucket.ForEach(func(key, value []byte) error {
		var stored storedDeparture
		if decodeErr := decodeGob(value, &stored); decodeErr != nil {
			return newDepartureError("read", string(key), decodeErr)
		}
		departures = append(departures, registry.Departure{ID: string(key), Deregistered: stored.Deregistered})
		return nil
	})
	return departures, err
}

// verifyDepartures reads the last written departure of each backend back: see Store.verifyHeads.
func verifyDepartures(tx *bbolt.Tx, written []registry.Departure) error {
	want := map[string]registry.Departure{}
	for _, d := range written {
		want[d.ID] = d
	}
	bucket := tx.Bucket(departuresBucket)
	for id, d := range want {
		var stored storedDeparture
		if bucket == nil || decodeGob(bucket.Get([]byte(id)), &stored) != nil || stored.Deregistered != d.Deregistered {
			return newDepartureError("read back", id, ErrReadBack)
		}
	}
	return nil
}

// newDepartureError returns the error of an operation on the departure of a backend, or on the bucket of all departures if id is empty.
func newDepartureError(operation, id string, err error) error {
	return newLogError(fmt.Sprintf("%s departure of backend %q", operation, id), replication.ConfigurationLog, departuresBucket, err)
}
