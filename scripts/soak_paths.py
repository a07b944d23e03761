"""Paths from entry hosts to upstreams that are cut, seen from the upstreams.

A stand-in upstream sees no more of a connection than its address. Which process
made it is known to the kernel."""

import asyncio
import os
import socket
import struct
import time

# After a cut, an entry finds its path again within this time.
FOUND_AGAIN_SECONDS = 3.0
# What becomes of an entry's connections to upstreams: nothing passes any more;
# all are reset; or those that are open live on while new ones are reset.
HANG, RESET, REFUSE_NEW = "hang", "reset", "refuse new"
KINDS = [HANG, RESET, REFUSE_NEW]
# Of linux/sock_diag.h, linux/inet_diag.h and linux/netlink.h.
NETLINK_SOCK_DIAG, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST = 4, 20, 1
NLMSG_HEADER, ALL_STATES, NO_COOKIE = 16, 0xfff, 0xffffffff
INODE_OFFSET = NLMSG_HEADER + 68


def inode_of_peer(writer):
    """@return the inode of the socket at the other end of a connection, as the
    kernel's socket diagnostics tell; None if it is gone."""
    peer, own = (writer.get_extra_info(name)
                 for name in ("peername", "sockname"))
    if peer is None or own is None:
        return None
    ends = struct.pack("!HH4s12x4s12x", peer[1], own[1],
                       socket.inet_aton(peer[0]), socket.inet_aton(own[0]))
    request = (struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0,
                           ALL_STATES)
               + ends + struct.pack("=III", 0, NO_COOKIE, NO_COOKIE))
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW,
                       NETLINK_SOCK_DIAG) as kernel:
        kernel.send(struct.pack("=IHHII", NLMSG_HEADER + len(request),
                                SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
                    + request)
        answer = kernel.recv(4096)
    if struct.unpack_from("=H", answer, 4)[0] != SOCK_DIAG_BY_FAMILY:
        return None
    return str(struct.unpack_from("=I", answer, INODE_OFFSET)[0])


def open_sockets(process):
    """@return the inodes of the sockets that a process has open."""
    folder, inodes = f"/proc/{process}/fd", set()
    try:
        for name in os.listdir(folder):
            link = os.readlink(f"{folder}/{name}")
            if link.startswith("socket:["):
                inodes.add(link[len("socket:["):-1])
    except OSError:
        pass  # The process, or the descriptor, is gone.
    return inodes


class Paths:
    """The paths of all entries to all upstreams."""

    def __init__(self):
        # The kind of the cut, by entry, and what ends it.
        self.cuts = {}
        self.healed = {}
        self.healed_at = {}

    def cut(self, entry, upstreams, kind):
        """Cuts an entry off from all upstreams. What they have just answered, or
        are about to, may be lost on its way."""
        now = time.monotonic()
        self.cuts[entry] = kind
        self.healed[entry] = asyncio.Event()
        own = open_sockets(entry.process.pid)
        for upstream in upstreams:
            for writer in list(upstream.connections):
                if inode_of_peer(writer) not in own:
                    continue
                if kind == RESET:
                    writer.transport.abort()
                elif kind == HANG:
                    upstream.cut_off[writer] = entry
                if kind != REFUSE_NEW:
                    for arrival in upstream.arrivals:
                        if arrival.connection is writer:
                            arrival.crash(now)

    def heal(self, entry):
        self.cuts.pop(entry, None)
        self.healed_at[entry] = time.monotonic()
        healed = self.healed.pop(entry, None)
        if healed:
            healed.set()

    def may_be_relayed(self, entry):
        """@return whether another entry may send the requests of this one."""
        healed = self.healed_at.get(entry)
        return entry in self.cuts or (
            healed is not None
            and time.monotonic() - healed < FOUND_AGAIN_SECONDS)

    def passes(self, writer):
        """@return whether a new connection comes through, and the entry that
        made it if it is cut off. One that has been given up by then would not
        have come through a cut."""
        if not self.cuts:
            return True, None
        inode = inode_of_peer(writer)
        for entry in self.cuts:
            if inode in open_sockets(entry.process.pid):
                return self.cuts[entry] == HANG, entry
        return inode is not None, None

    async def swallow(self, entry):
        """Returns once an entry that hangs is no longer cut off."""
        if entry in self.healed:
            await self.healed[entry].wait()
