/**
 * What a change of the document does to the capacity of services. Operators see it before they
 * publish a patch.
 */
import {type ConfigurationDocument, type TargetDefinition} from './document-schema.js';

export type DomainCapacity = {
	readonly service: string;
	readonly failureDomain: string;
	/** Slots of the targets in this failure domain; 0 when it is out. */
	readonly slotsBefore: number;
	readonly slotsAfter: number;
};

export type FloorWarning = {
	readonly service: string;
	/** Slots that the floor asks for: floor x the slots of all targets before the change. */
	readonly floorSlots: number;
	/** Slots in active failure domains before the change. */
	readonly slotsBefore: number;
	/** Slots that are usable right after the change: new targets count with their cold slots. */
	readonly slotsAfter: number;
};

type Definitions = ReadonlyMap<string, TargetDefinition>;

function isActive(document: ConfigurationDocument, target: TargetDefinition): boolean {
	return document.failureDomains[target.failureDomain]?.state === 'in';
}

function activeTargets(document: ConfigurationDocument, service: string): Definitions {
	const targets = document.services[service]?.targets ?? [];
	return new Map(
		targets.filter(target => isActive(document, target)).map(target => [target.id, target]),
	);
}

function namesOfServices(before: ConfigurationDocument, after: ConfigurationDocument): string[] {
	return [...new Set([...Object.keys(before.services), ...Object.keys(after.services)])];
}

function slotsByDomain(document: ConfigurationDocument, service: string): Map<string, number> {
	const slots = new Map<string, number>();
	for (const {failureDomain} of activeTargets(document, service).values()) {
		const sum = slots.get(failureDomain) ?? 0;
		slots.set(failureDomain, sum + document.services[service]!.slots);
	}

	return slots;
}

/** Lists the services and failure domains whose capacity changes. Linear in the number of targets. */
export function findCapacityChanges(
	before: ConfigurationDocument,
	after: ConfigurationDocument,
): DomainCapacity[] {
	return namesOfServices(before, after).flatMap(service => {
		const old = slotsByDomain(before, service);
		const fresh = slotsByDomain(after, service);
		return [...new Set([...old.keys(), ...fresh.keys()])]
			.map(failureDomain => ({
				service,
				failureDomain,
				slotsBefore: old.get(failureDomain) ?? 0,
				slotsAfter: fresh.get(failureDomain) ?? 0,
			}))
			.filter(({slotsBefore, slotsAfter}) => slotsBefore !== slotsAfter);
	});
}

/** A target that was not active before starts cold, and added slots are gained one at a time. */
function usableSlots(
	before: ConfigurationDocument,
	after: ConfigurationDocument,
	service: string,
): number {
	const definition = after.services[service];
	if (definition === undefined) {
		return 0;
	}

	const old = activeTargets(before, service);
	const warmSlots = Math.min(before.services[service]?.slots ?? 0, definition.slots);
	let slots = 0;
	for (const id of activeTargets(after, service).keys()) {
		slots += old.has(id) ? warmSlots : definition.coldSlots;
	}

	return slots;
}

/**
 * Lists the services whose capacity shrinks below their floor. The floor is taken of all targets
 * before the change, also of those in failure domains that are already out, so that several small
 * steps do not pass where one large step would not.
 */
export function findFloorWarnings(
	before: ConfigurationDocument,
	after: ConfigurationDocument,
): FloorWarning[] {
	const warnings: FloorWarning[] = [];
	for (const [service, definition] of Object.entries(before.services)) {
		const floor = Math.max(definition.floor, after.services[service]?.floor ?? 0);
		const floorSlots = Math.ceil(floor * definition.targets.length * definition.slots);
		const slotsBefore = activeTargets(before, service).size * definition.slots;
		const slotsAfter = usableSlots(before, after, service);
		if (slotsAfter < slotsBefore && slotsAfter < floorSlots) {
			warnings.push({service, floorSlots, slotsBefore, slotsAfter});
		}
	}

	return warnings;
}
