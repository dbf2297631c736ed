package replication

import "time"

// LogID distinguishes the logs on one disk.
type LogID uint8

// ConfigurationLog is the log that orders configurations. The logs of the coordination groups have the numbers from 1 on.
const ConfigurationLog LogID = 0

// Config has the times and bounds of a replica. The defaults given are DefaultConfig's; GroupConfig's, where they differ, follow
// in parentheses.
type Config struct {
	// TestingKnobs plants faults for tests. It is an empty type in a release build.
	TestingKnobs TestingKnobs

	// LogID is the log that the replica replicates. Default: ConfigurationLog.
	LogID LogID

	// HeartbeatInterval is the time between a leader's heartbeats. Default: 150 ms (100 ms).
	HeartbeatInterval time.Duration

	// ElectionTimeout is the least time without a leader before a member starts a pre-vote. Default: 400 ms (300 ms).
	ElectionTimeout time.Duration

	// ElectionJitter is the upper bound of a random time on top of ElectionTimeout. Default: 400 ms (300 ms).
	ElectionJitter time.Duration

	// QuorumTimeout is how long a leader leads without an answer from a majority, and how long a follower names a leader that it
	// does not hear. Default: 1 s (500 ms).
	QuorumTimeout time.Duration

	// CommitNotifyDelay is the longest time before a leader sends a new commit index. Default: 20 ms (100 ms: only the
	// leader answers by what is committed).
	CommitNotifyDelay time.Duration

	// RetransmitTimeout is when chunks that nobody acknowledged are sent again. A snapshot in one message is sent again after
	// snapshotRetransmitFactor times as long. Default: 500 ms.
	RetransmitTimeout time.Duration

	// LearnerTimeout is when a learner that does not answer is dropped. Default: 3 s.
	LearnerTimeout time.Duration

	// MaxPending bounds the proposals, and likewise the reads, without an Outcome. Default: 1024.
	MaxPending int

	// MaxUncommittedBytes bounds the entries that are not committed; one entry is always taken. 0: not bounded. Default: 8 MiB
	// (1 MiB).
	MaxUncommittedBytes int

	// MaxMessageBytes bounds the entries in one message; one entry always goes. Default: 16 KiB.
	MaxMessageBytes int

	// MaxInflightBytes bounds what is sent to one member and not acknowledged. Larger entries and snapshots go in chunks. 0: not
	// bounded, and no chunks. Default: 16 KiB.
	MaxInflightBytes int

	// ChunkBytes is the size of a chunk. Default: 8 KiB.
	ChunkBytes int

	// TrailingBytes is how many bytes of compacted entries stay in memory at the least. Default: 64 KiB (16 KiB).
	TrailingBytes int

	// ReadMinimalQuorum has a read sequence sent to a bare majority at first, and to the others with the next heartbeat.
	// Default: false (true).
	ReadMinimalQuorum bool
}

// DefaultConfig is for links with a round trip of a few milliseconds and at least 2 Mbit/s, and disks with some milliseconds a
// sync: MaxInflightBytes to each of a handful of members delays a heartbeat on such a link by less than ElectionTimeout.
func DefaultConfig() Config {
	return Config{
		LogID:               ConfigurationLog,
		HeartbeatInterval:   150 * time.Millisecond,
		ElectionTimeout:     400 * time.Millisecond,
		ElectionJitter:      400 * time.Millisecond,
		QuorumTimeout:       time.Second,
		CommitNotifyDelay:   20 * time.Millisecond,
		RetransmitTimeout:   500 * time.Millisecond,
		LearnerTimeout:      3 * time.Second,
		MaxPending:          1024,
		MaxUncommittedBytes: 8 << 20,
		MaxMessageBytes:     16 << 10,
		MaxInflightBytes:    16 << 10,
		ChunkBytes:          8 << 10,
		TrailingBytes:       64 << 10,
	}
}

// GroupConfig is for the log of a coordination group. Calls are delayed while a group has no leader, so elections start sooner than for
// the configuration's log. The machines have 0.4 of a core and disks of up to 5 ms a sync: three heartbeats may be missed.
func GroupConfig(log LogID) Config {
	config := DefaultConfig()
	config.LogID = log
	config.HeartbeatInterval = 100 * time.Millisecond
	config.ElectionTimeout = 300 * time.Millisecond
	config.ElectionJitter = 300 * time.Millisecond
	config.QuorumTimeout = 500 * time.Millisecond
	config.CommitNotifyDelay = config.HeartbeatInterval
	config.MaxUncommittedBytes = 1 << 20
	config.TrailingBytes = 16 << 10
	config.ReadMinimalQuorum = true
	return config
}
