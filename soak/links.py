"""Forwarding proxies on loopback that delay, reset, cut or silence the connections that pass through them."""
import asyncio


class Link:
    """One listening port that forwards to a target.

    Faults: cut (existing and new connections hang until it ends), one_way (bytes towards the target are held back until
    it ends; they are lost if their sender resets the connection meanwhile), delay_s (each block of bytes is forwarded that many seconds later), silence (connections that are open at
    that moment hang permanently; new ones work), reset (connections that are open at that moment are aborted).
    """

    def __init__(self, name, target_port):
        self.name, self.target_port, self.port = name, target_port, 0
        self.cut = self.one_way = False
        self.delay_s, self.open = 0.0, set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        state = {"silent": False, "writers": [writer]}
        self.open.add(id(state))
        self.states = getattr(self, "states", {})
        self.states[id(state)] = state
        try:
            while self.cut:
                await asyncio.sleep(0.05)
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
            state["writers"].append(target_writer)
            await asyncio.gather(self.forward(state, reader, target_writer, True),
                                 self.forward(state, target_reader, writer, False))
        except OSError:
            pass
        finally:
            self.states.pop(id(state), None)
            for open_writer in state["writers"]:
                open_writer.close()

    async def forward(self, state, reader, writer, to_target):
        """Reads at once and delivers later, so that a reset by the sender is noticed and discards what is held back."""
        held = asyncio.Queue()
        delivery = asyncio.create_task(self.deliver(state, held, writer, to_target))
        try:
            while data := await reader.read(65536):
                held.put_nowait(data)
            held.put_nowait(b"")
            await delivery
        except (ConnectionError, OSError):
            pass
        finally:
            delivery.cancel()
            if not state["silent"]:
                for open_writer in state["writers"]:
                    open_writer.close()

    async def deliver(self, state, held, writer, to_target):
        try:
            while data := await held.get():
                while self.cut or state["silent"] or (self.one_way and to_target):
                    await asyncio.sleep(0.02)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
            while self.cut or state["silent"] or (self.one_way and to_target):
                await asyncio.sleep(0.02)
        except (ConnectionError, OSError):
            pass

    def silence(self):
        for state in getattr(self, "states", {}).values():
            state["silent"] = True

    def reset(self):
        for state in list(getattr(self, "states", {}).values()):
            for open_writer in state["writers"]:
                open_writer.transport.abort()
