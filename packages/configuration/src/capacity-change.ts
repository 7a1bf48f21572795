/**
 * Effect of a configuration change on the capacity of services. Operators see it before they
 * publish a patch.
 */
import {type ConfigurationDocument, type TargetDefinition} from './document-schema.js';

export type CapacityChange = {
	readonly service: string;
	readonly failureDomain: string;
	/** Slots of the service's targets in this failure domain; 0 if the domain is out of service. */
	readonly slotsBefore: number;
	readonly slotsAfter: number;
};

/**
 * A service that would have fewer usable slots than its floor, the minimum fraction of its slots
 * that must remain.
 */
export type FloorWarning = {
	readonly service: string;
	/**
	 * Slots that the floor requires: the higher of the floors before and after the change, multiplied
	 * by the slots of all targets before the change.
	 */
	readonly floorSlots: number;
	/** Slots in active failure domains before the change. */
	readonly slotsBefore: number;
	/** Slots usable immediately after the change; new targets count with their cold slots. */
	readonly slotsAfter: number;
};

type TargetsById = ReadonlyMap<string, TargetDefinition>;

function isActive(document: ConfigurationDocument, target: TargetDefinition): boolean {
	return document.failureDomains[target.failureDomain]?.state === 'in';
}

function activeTargetsOf(document: ConfigurationDocument, service: string): TargetsById {
	const targets = document.services[service]?.targets ?? [];
	return new Map(
		targets.filter(target => isActive(document, target)).map(target => [target.id, target]),
	);
}

function serviceNamesOf(before: ConfigurationDocument, after: ConfigurationDocument): string[] {
	return [...new Set([...Object.keys(before.services), ...Object.keys(after.services)])];
}

function slotsByDomain(document: ConfigurationDocument, service: string): Map<string, number> {
	const slots = new Map<string, number>();
	for (const {failureDomain} of activeTargetsOf(document, service).values()) {
		const slotsSoFar = slots.get(failureDomain) ?? 0;
		slots.set(failureDomain, slotsSoFar + document.services[service]!.slots);
	}

	return slots;
}

/**
 * Lists the services and failure domains whose capacity changes. Linear in the number of targets.
 */
export function findCapacityChanges(
	before: ConfigurationDocument,
	after: ConfigurationDocument,
): CapacityChange[] {
	return serviceNamesOf(before, after).flatMap(service => {
		const oldSlots = slotsByDomain(before, service);
		const newSlots = slotsByDomain(after, service);
		return [...new Set([...oldSlots.keys(), ...newSlots.keys()])]
			.map(failureDomain => ({
				service,
				failureDomain,
				slotsBefore: oldSlots.get(failureDomain) ?? 0,
				slotsAfter: newSlots.get(failureDomain) ?? 0,
			}))
			.filter(({slotsBefore, slotsAfter}) => slotsBefore !== slotsAfter);
	});
}

/**
 * Returns the slots of a service that are usable immediately after the change. A target that was
 * not active before starts with its cold slots. A target with more slots than before gains them one
 * at a time, so its former number counts.
 */
function usableSlotsAfter(
	before: ConfigurationDocument,
	after: ConfigurationDocument,
	service: string,
): number {
	const definition = after.services[service];
	if (definition === undefined) {
		return 0;
	}

	const oldTargets = activeTargetsOf(before, service);
	const warmSlots = Math.min(before.services[service]?.slots ?? 0, definition.slots);
	let slots = 0;
	for (const id of activeTargetsOf(after, service).keys()) {
		slots += oldTargets.has(id) ? warmSlots : definition.coldSlots;
	}

	return slots;
}

/**
 * Lists the services whose usable slots the change reduces below what the floor requires. If the
 * change alters the floor, the higher value counts. The floor applies to all targets before the
 * change, including those in failure domains that are already out of service; otherwise several
 * small changes could go below the floor without a warning where one large change could not.
 */
export function findFloorWarnings(
	before: ConfigurationDocument,
	after: ConfigurationDocument,
): FloorWarning[] {
	const warnings: FloorWarning[] = [];
	for (const [service, definition] of Object.entries(before.services)) {
		const floor = Math.max(definition.floor, after.services[service]?.floor ?? 0);
		const floorSlots = Math.ceil(floor * definition.targets.length * definition.slots);
		const slotsBefore = activeTargetsOf(before, service).size * definition.slots;
		const slotsAfter = usableSlotsAfter(before, after, service);
		if (slotsAfter < slotsBefore && slotsAfter < floorSlots) {
			warnings.push({service, floorSlots, slotsBefore, slotsAfter});
		}
	}

	return warnings;
}
