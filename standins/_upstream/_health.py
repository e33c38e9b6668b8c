"""Health probes of the upstream stand-in."""

from collections.abc import Iterator

from lycheedeal import messages
from standins._core import Effect, MessageReceived, PluginSpec, Send, register
from standins._upstream._state import PROGRAM, Context


class HealthPlugin:
    """Answers probes with state and load, or with a false load if told to."""

    def __init__(self, context: Context) -> None:
        """Attach to the state shared by the upstream's plug-ins."""
        self._context = context

    def handle(self, event: MessageReceived) -> Iterator[Effect]:
        """Answer a ``Hello`` unless probes are to be ignored."""
        match event:
            case MessageReceived(source, messages.Hello(nonce)):
                if not self._context.ignores_hello:
                    yield Send(source, self._welcome(nonce))

    def _welcome(self, nonce: int) -> messages.Welcome:
        context = self._context
        settings = context.settings
        load = context.false_load or context
        return messages.Welcome(
            nonce=nonce,
            service=settings.service,
            incarnation=settings.incarnation,
            state=context.state(),
            slots=settings.slots,
            running=load.running,
            flows=load.flows,
        )


register(PluginSpec(PROGRAM, 'health', HealthPlugin, frozenset((MessageReceived,))))
