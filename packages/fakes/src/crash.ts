/** Simulates the crash of a fake service by resetting its connections. */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** The open connections of each tracked server. */
const socketsByServer = new WeakMap<Server, Set<Socket>>();

/**
 * Tracks the connections of a server, which `crash` needs. Must be called before it listens.
 *
 * @param server - the server
 */
export function trackSockets(server: Server): void {
  const open = new Set<Socket>();
  socketsByServer.set(server, open);
  server.on('connection', (socket) => {
    open.add(socket);
    socket.once('close', () => open.delete(socket));
  });
}

/**
 * Resets every connection of a server, and for a while new ones too.
 *
 * @param server - a server that `trackSockets` was called with
 * @param downMs - how long new connections are reset, in milliseconds
 */
export function crash(server: Server, downMs = 0): void {
  const reset = (socket: Socket): void => {
    socket.resetAndDestroy();
  };
  socketsByServer.get(server)?.forEach(reset);
  if (downMs === 0) return;
  server.on('connection', reset);
  setTimeout(() => server.off('connection', reset), downMs);
}
