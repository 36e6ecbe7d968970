"""Socket filters: small programs by which the kernel drops packets of one socket."""

import ctypes
import socket
import struct

# <asm-generic/socket.h>; Python's socket module doesn't have it.
SO_ATTACH_FILTER = 26
# struct sock_filter: code, jump if true, jump if false, operand.
_INSTRUCTION = struct.Struct("HBBI")
LOAD_BYTE, LOAD_LENGTH = 0x30, 0x80
JUMP_IF_SET, JUMP_IF_GREATER = 0x45, 0x25
RETURN = 0x06
WHOLE_PACKET = 0xFFFFFFFF

Instruction = tuple[int, int, int, int]


def attach_filter(sock: socket.socket, program: tuple[Instruction, ...]) -> None:
    """Have the kernel run `program` on each packet that arrives for a socket.

    It returns the number of bytes of the packet to keep; a packet of which none are
    kept is dropped as if it had been lost. The filter replaces the one before it, and
    a listener's is inherited by its connections. Raises `OSError` if the kernel does
    not accept the program. See ``socket(7)``::

        attach_filter(sock, ((RETURN, 0, 0, 0),))  # drops every packet
    """
    code = b"".join(_INSTRUCTION.pack(*step) for step in program)
    instructions = ctypes.create_string_buffer(code, len(code))
    # struct sock_fprog: length, pointer to the instructions.
    header = struct.pack("HP", len(program), ctypes.addressof(instructions))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, header)
