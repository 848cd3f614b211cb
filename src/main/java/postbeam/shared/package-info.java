/**
 * What routers may share through a store, and what each does when the store is slow, wrong or away. Decisions and state
 * alone: no I/O, no clock and no thread; a router's times are spans of its own monotonic clock, the store's are the
 * store's. docs/shared-store.md has the ways weighed and the proof. Not wired to a router yet.
 */
package postbeam.shared;
