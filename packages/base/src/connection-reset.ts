/** Tells a connection that was reset from one that its peer closed normally. */
import type { Socket } from 'node:net';

/**
 * Calls back when a connection is reset, before listeners that are added later see its end.
 *
 * @param socket - the connected socket, of which nobody has read the remote address yet
 * @param onReset - called once or more after a reset or another error, never after a normal close
 */
export function onConnectionReset(socket: Socket, onReset: () => void): void {
  socket.on('error', onReset);
  // Node.js reports a reset that arrives together with data as the end of the data. The operating
  // system forgets the peer's address at a reset, but keeps it after a normal close.
  socket.on('end', () => {
    if (socket.remoteAddress === undefined) onReset();
  });
}
