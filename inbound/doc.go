// Package inbound bounds what clients make a process hold, over all of its listeners together.
//
// A Budget counts each connection, and what is read of a request until it has been answered: heads, and the buffers of bodies as
// they grow. Bytes are reserved before they are taken. While there is no room, reservations wait, and connections that hold most for
// longest without progress are closed to make room. Requests that have been read whole are never given up.
//
// A part of the budget is kept from large bodies, so that they can't crowd out small requests.
package inbound
