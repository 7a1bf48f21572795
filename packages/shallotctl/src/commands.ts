/**
 * All commands by name, in the order of the help text.
 */
import {type Command} from './command.js';
import {applyPreview} from './commands/apply-preview.js';
import {check} from './commands/check.js';
import {diff} from './commands/diff.js';
import {drain} from './commands/drain.js';
import {explain} from './commands/explain.js';
import {hashKey} from './commands/hash-key.js';
import {patch} from './commands/patch.js';
import {status} from './commands/status.js';
import {targets} from './commands/targets.js';
import {watch} from './commands/watch.js';
import {workspaces} from './commands/workspaces.js';

export const commands: ReadonlyMap<string, Command> = new Map([
	['check', check],
	['patch', patch],
	['diff', diff],
	['apply-preview', applyPreview],
	['hash-key', hashKey],
	['status', status],
	['targets', targets],
	['workspaces', workspaces],
	['watch', watch],
	['drain', drain],
	['explain', explain],
]);
