// Package journal keeps a replica's log on disk.
package journal
