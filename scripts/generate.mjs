import { execFileSync } from 'node:child_process';

execFileSync('../../node_modules/.bin/buf', ['generate'], {
  cwd: 'packages/protocol',
  stdio: 'inherit',
});
