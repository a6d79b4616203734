/** A replica in a process of its own; prints its port, then a line for each run. */
import { Replica, type ReplicaOptions } from './replica-3';

const replica = new Replica(JSON.parse(process.argv[2] ?? '{}') as ReplicaOptions);
replica.record = (line) => process.stdout.write(`${line}\n`);
await replica.start();
process.stdout.write(`${replica.address}\n`);
