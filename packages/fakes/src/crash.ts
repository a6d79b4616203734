/** The crash of a stand-in: every connection is reset, and for a while new ones are too. */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

const sockets = new WeakMap<Server, Set<Socket>>();

/**
 * Keeps track of a server's connections. Called before it listens.
 *
 * @param server - the server
 */
export function trackSockets(server: Server): void {
  const open = new Set<Socket>();
  sockets.set(server, open);
  server.on('connection', (socket) => {
    open.add(socket);
    socket.once('close', () => open.delete(socket));
  });
}

/**
 * Resets every connection of a server.
 *
 * @param server - a server whose connections are tracked
 * @param downMs - how long new connections are reset too, in milliseconds
 */
export function crash(server: Server, downMs = 0): void {
  const reset = (socket: Socket): void => {
    socket.resetAndDestroy();
  };
  sockets.get(server)?.forEach(reset);
  if (downMs === 0) return;
  server.on('connection', reset);
  setTimeout(() => server.off('connection', reset), downMs);
}
