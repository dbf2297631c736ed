package replication

import "time"

// LogID identifies one of the logs on a disk.
type LogID uint8

// ConfigurationLog is the log of configuration changes. The logs of the coordination groups are numbered from 1.
const ConfigurationLog LogID = 0

// Config contains the timeouts and limits of a replica. Each comment gives the value in DefaultConfig. If GroupConfig sets another value,
// the comment gives the value of GroupConfig in parentheses.
type Config struct {
	// TestingKnobs injects defects for tests. It is an empty type in a release build.
	TestingKnobs TestingKnobs

	// LogID is the log that this replica replicates. Default: ConfigurationLog.
	LogID LogID

	// HeartbeatInterval is the time between a leader's heartbeats. Default: 150 ms (100 ms in GroupConfig).
	HeartbeatInterval time.Duration

	// ElectionTimeout is the minimum time since the last message from a leader before a member starts a pre-vote.
	// Default: 400 ms (300 ms in GroupConfig).
	ElectionTimeout time.Duration

	// ElectionJitter is the upper bound of the random time that is added to ElectionTimeout. Default: 400 ms (300 ms in GroupConfig).
	ElectionJitter time.Duration

	// QuorumTimeout is how long a leader continues without responses from a majority. It is also how long a follower still reports
	// its leader after the last message from that leader. Default: 1 s (500 ms in GroupConfig).
	QuorumTimeout time.Duration

	// CommitNotifyDelay is the maximum delay before a leader sends a new commit index to the other members. Default: 20 ms
	// (100 ms in GroupConfig). In a coordination group, only the leader answers requests from the committed state, so the other members
	// can learn the new commit index later.
	CommitNotifyDelay time.Duration

	// RetransmitTimeout is the time after which unacknowledged chunks are sent again. A snapshot in a single message is sent
	// again after snapshotRetransmitFactor times this value. Default: 500 ms.
	RetransmitTimeout time.Duration

	// LearnerTimeout is how long a learner may go without a response before the leader drops it. Default: 3 s.
	LearnerTimeout time.Duration

	// MaxPending is the maximum number of proposals without an Outcome, and also of reads without an Outcome. Default: 1024.
	MaxPending int

	// MaxUncommittedBytes is the maximum total size of the uncommitted entries. A larger entry is accepted if no other entry is
	// uncommitted. 0: no limit. Default: 8 MiB (1 MiB in GroupConfig).
	MaxUncommittedBytes int

	// MaxMessageBytes is the maximum total size of the entries in one message. A larger entry is sent in a message of its own.
	// Default: 16 KiB.
	MaxMessageBytes int

	// MaxInflightBytes is the maximum number of unacknowledged bytes in flight to one member. Larger entries and snapshots
	// are sent in chunks. 0: no limit and no chunks. Default: 16 KiB.
	MaxInflightBytes int

	// ChunkBytes is the size of a chunk. Default: 8 KiB.
	ChunkBytes int

	// TrailingBytes is the limit for the total size of the compacted entries that are kept in memory. A larger snapshot raises the limit
	// to the size of the snapshot's state. Default: 64 KiB (16 KiB in GroupConfig).
	TrailingBytes int

	// ReadMinimalQuorum sends a new read sequence (see read.go) only to as many members as a majority needs. The other members get
	// the read sequence with the next heartbeat. Default: false (true in GroupConfig).
	ReadMinimalQuorum bool
}

// DefaultConfig returns the configuration for links with a round trip of a few milliseconds and at least 2 Mbit/s, and for disks
// that sync in a few milliseconds. On such a link, MaxInflightBytes in flight to each of a few members delay a heartbeat by
// less than ElectionTimeout.
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

// GroupConfig returns the configuration for the log of a coordination group, which is a part of the cluster's data with its own leader.
// Calls to a group are delayed while the group has no leader, so elections start sooner than in the configuration log. The timeouts are
// chosen for machines with 0.4 of a core and disks that sync in up to 5 ms. They tolerate three missed heartbeats.
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
