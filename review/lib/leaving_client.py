"""A client that writes a long statement in pieces, as a buffered stream does, and may be killed.

Arguments: port, database, key, id, text, bytes of the first piece, seconds before the rest, and
the id of a BEGIN to send before, or nothing.
"""

import socket
import sys
import time

port, database, key, ident, text, first, pause, begin = sys.argv[1:]
stream = socket.create_connection(("127.0.0.1", int(port)))
lines = stream.makefile("rb")
stream.sendall(f"STARTUP {database} {key}\r\n".encode())
assert lines.readline().startswith(b"READY I")
if begin:
    stream.sendall(f"QUERY {begin} BEGIN\r\n".encode())
    while not lines.readline().startswith(b"READY T"):
        pass
message = f"QUERY {ident} {text}\r\n".encode()
stream.sendall(message[:int(first)])
print("first piece sent", flush=True)
time.sleep(float(pause))
stream.sendall(message[int(first):])
while True:
    line = lines.readline()
    print(line.decode().rstrip(), flush=True)
    if not line or line.startswith(b"READY"):
        break
