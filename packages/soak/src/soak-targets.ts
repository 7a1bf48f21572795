/**
 * The targets of the deployment: starts them, lists them in the store, and makes them crash, leave
 * and fail. A target that crashes or leaves is replaced by a cold one.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {type Random} from '@shallotpond/kernel/random';
import {type StandInStore} from '@shallotpond/platform/stand-in-store';
import {encodeTarget, storeKeyOf} from '@shallotpond/platform/stand-in-encoding';
import {type FaultProxyMode} from './fault-proxy.js';
import {type Fault} from './fault-schedule.js';
import {type Observations} from './observations.js';
import {
	createSoakTarget,
	type ServiceProfile,
	type SoakTarget,
	type TargetFault,
} from './soak-target.js';
import {
	coldSeconds,
	failureDomains,
	pickAtFraction,
	serviceProfiles,
	targetsPerService,
} from './soak-deployment.js';

export type SoakTargets = {
	/** Starts warm targets for all services. */
	start(): Promise<void>;
	/** Stops a target without notice; its entry in the store remains until it expires. */
	crash(fault: Fault): void;
	/** Announces that a target leaves, and stops it later. */
	leave(fault: Fault): void;
	/** Makes a target fail in the given way while the fault lasts. */
	injectFault(targetFault: TargetFault, fault: Fault): void;
	/** Sets the mode of the proxy in front of one target while the fault lasts. */
	impairLink(mode: FaultProxyMode, fault: Fault): void;
	/** Silences the open connections to all targets. */
	silenceOpenConnections(): void;
	/** Stops all targets. */
	stop(): Promise<void>;
};

export type SoakTargetsOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly store: StandInStore;
	readonly observations: Observations;
};

/** The platform removes the entry of a target that has missed three heartbeats. */
const entryTtlMs = 4500;
/**
 * Time from the announcement that a target leaves until it stops; longer than `maxLeavingDelay`,
 * within which requests to it must cease.
 */
const leaveDurationMs = 3500;
const replacementDelayMs = 1000;
const millisecondsPerSecond = 1000;

export function createSoakTargets(options: SoakTargetsOptions): SoakTargets {
	const {clock, random, store, observations} = options;
	/**
	 * Targets into which faults can be injected; `allTargets` also contains those that have crashed
	 * or announced that they leave.
	 */
	const targets = new Map<string, SoakTarget>();
	const allTargets: SoakTarget[] = [];
	let isStopped = false;

	function writeEntry(target: SoakTarget, state: 'ready' | 'leaving'): void {
		store.write(storeKeyOf.target(target.id), encodeTarget(target.directoryEntry(state), 1));
	}

	function removeEntry(target: SoakTarget): void {
		store.write(storeKeyOf.target(target.id), undefined);
	}

	async function startTarget(profile: ServiceProfile, failureDomain: string, coldFor: number) {
		const id = `i-${allTargets.length + 1}`;
		const target = createSoakTarget({
			clock,
			random,
			observations,
			id,
			profile,
			failureDomain,
			coldFor,
		});
		allTargets.push(target);
		await target.start();
		if (isStopped) {
			await target.crash();
			return;
		}

		targets.set(id, target);
		if (coldFor > 0) {
			const at = clock.monotonic();
			observations.changes.push({kind: 'target-cold', at, target: id, until: at + coldFor});
		}

		writeEntry(target, 'ready');
	}

	function scheduleReplacement({service, failureDomain}: SoakTarget): void {
		clock.after(replacementDelayMs, () => {
			const profile = serviceProfiles.find(({name}) => name === service)!;
			void startTarget(profile, failureDomain, coldSeconds * millisecondsPerSecond);
		});
	}

	function chooseTarget({choice}: Fault): SoakTarget {
		return pickAtFraction([...targets.values()], choice);
	}

	return {
		async start() {
			for (const profile of serviceProfiles) {
				for (let index = 0; index < targetsPerService; index++) {
					await startTarget(profile, failureDomains[index % failureDomains.length]!, 0);
				}
			}
		},
		crash(fault) {
			const target = chooseTarget(fault);
			targets.delete(target.id);
			void target.crash();
			clock.after(entryTtlMs, () => {
				removeEntry(target);
			});
			scheduleReplacement(target);
		},
		leave(fault) {
			const target = chooseTarget(fault);
			targets.delete(target.id);
			writeEntry(target, 'leaving');
			const at = clock.monotonic();
			observations.changes.push({kind: 'target-leaving', at, target: target.id});
			clock.after(leaveDurationMs, () => {
				removeEntry(target);
				void target.crash();
			});
			scheduleReplacement(target);
		},
		injectFault(targetFault, fault) {
			const target = chooseTarget(fault);
			target.setFault(targetFault);
			clock.after(fault.duration, () => {
				target.setFault(undefined);
			});
		},
		impairLink(mode, fault) {
			const {proxy} = chooseTarget(fault);
			proxy.setMode(mode);
			clock.after(fault.duration, () => {
				proxy.setMode('pass');
			});
		},
		silenceOpenConnections() {
			for (const {proxy} of targets.values()) {
				proxy.silenceOpenConnections();
			}
		},
		async stop() {
			isStopped = true;
			await Promise.all(allTargets.map(async target => target.crash()));
		},
	};
}
