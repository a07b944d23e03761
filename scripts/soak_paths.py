"""Paths from entry hosts to upstreams that are cut, seen from the upstreams.

A stand-in upstream sees no more of a connection than its address. Which process
made it is in the kernel's table of sockets."""

import asyncio
import os
import pathlib
import time

# After a cut, an entry finds its path again within this time.
FOUND_AGAIN_SECONDS = 3.0
# What becomes of an entry's connections to upstreams: nothing passes any more;
# all are reset; or those that are open live on while new ones are reset.
HANG, RESET, REFUSE_NEW = "hang", "reset", "refuse new"
KINDS = [HANG, RESET, REFUSE_NEW]
TCP_TABLE = pathlib.Path("/proc/net/tcp")


def place(host, port):
    """@return an address as the table of sockets has it."""
    octets = reversed(host.split("."))
    return "".join(f"{int(octet):02X}" for octet in octets) + f":{port:04X}"


def socket_inodes():
    """@return the inode of each TCP socket, by its two ends."""
    inodes = {}
    for line in TCP_TABLE.read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        inodes[fields[1], fields[2]] = fields[9]
    return inodes


def inode_of_peer(inodes, writer):
    """@return the inode of the socket at the other end of a connection; None
    if it is gone."""
    peer, own = (writer.get_extra_info(name)
                 for name in ("peername", "sockname"))
    if peer is None or own is None:
        return None
    return inodes.get((place(*peer), place(*own)))


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
        inodes, own = socket_inodes(), open_sockets(entry.process.pid)
        for upstream in upstreams:
            for writer in list(upstream.connections):
                if inode_of_peer(inodes, writer) not in own:
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
        inode = inode_of_peer(socket_inodes(), writer)
        for entry in self.cuts:
            if inode in open_sockets(entry.process.pid):
                return self.cuts[entry] == HANG, entry
        return inode is not None, None

    async def swallow(self, entry):
        """Returns once an entry that hangs is no longer cut off."""
        if entry in self.healed:
            await self.healed[entry].wait()
