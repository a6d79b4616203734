/** A sound plain replica that answers each request at once. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

/** Starts the replica; resolves with its address, `IP:port`. */
export async function startPlainReplica(id: string): Promise<string> {
  const server = http.createServer((req, res) => {
    const attempt = String(req.headers['attempt-id']);
    req.resume();
    req.on('end', () => {
      res.setHeader('Attempt-Id', attempt);
      if (req.headers['expect-instance'] !== undefined && req.headers['expect-instance'] !== id) {
        res.writeHead(421, { 'Not-Run': '1' }).end();
        return;
      }
      res.setHeader('Response-Stamp', `3e1b.07.${attempt}`);
      res.setHeader('Server-Load', '1,0,8');
      res.end(`answer to ${attempt}`);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
