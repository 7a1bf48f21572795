/**
 * The two organisations of the design page as fleets to replay.
 */
import {type DispatchService} from '@shallotpond/policy-dispatch/dispatch-service';
import {type TargetBehaviour} from './fake-target.js';
import {type Organisation} from './fleet-harness.js';

type ServiceSize = {
	readonly targets: number;
	/** Milliseconds. */
	readonly serviceTime: number;
};

type OrganisationSize = {
	readonly name: string;
	readonly domains: number;
	/** Milliseconds between failure domains, one way. */
	readonly distance: number;
	readonly slots: number;
	readonly connections: number;
	readonly instances: number;
	readonly services: Readonly<Record<string, ServiceSize>>;
	/** Requests per second by workspace. */
	readonly rates: Readonly<Record<string, number>>;
};

const maxInstances = 48;
/** Seconds of its rate that a workspace may send at once. */
const burstSeconds = 0.5;

function createService(name: string, size: ServiceSize, organisation: OrganisationSize) {
	const targets = Array.from({length: size.targets}, (_, index) => ({
		id: `${name}-${index}`,
		failureDomain: `domain-${index % organisation.domains}`,
	}));
	const service: DispatchService = {
		targets,
		slots: organisation.slots,
		connections: organisation.connections,
		coldSlots: 1,
		warmUpAnswers: 20,
		warmUpStep: 2000,
		floor: 0.7,
		shardSize: 4,
	};
	return service;
}

function createOrganisation(size: OrganisationSize): Organisation {
	const services = Object.entries(size.services);
	const rates = Object.entries(size.rates);
	const behaviour = ({serviceTime}: ServiceSize): TargetBehaviour => ({
		serviceTime,
		deviation: 0.5,
		slowFactor: 1,
		failRate: 0.01,
		blankRate: 0,
		flapPeriod: 0,
	});
	return {
		name: size.name,
		failureDomains: Array.from({length: size.domains}, (_, index) => `domain-${index}`),
		// From the same rack up to another failure domain with ordinary queueing.
		delay: [size.distance / 4, size.distance * 1.5],
		instances: size.instances,
		document: {
			version: 1,
			digest: 'digest-1',
			maxInstances,
			minorityFraction: 0.25,
			services: Object.fromEntries(
				services.map(([name, service]) => [name, createService(name, service, size)]),
			),
			workspaces: Object.fromEntries(
				rates.map(([name, rate]) => [name, {rate, burst: Math.ceil(rate * burstSeconds)}]),
			),
			domainsOut: [],
		},
		behaviour: Object.fromEntries(services.map(([name, service]) => [name, behaviour(service)])),
	};
}

/** Fjordvik Kommunale Badeverk, the lifeguard rota. */
export const fjordvik: Organisation = createOrganisation({
	name: 'Fjordvik',
	domains: 4,
	distance: 1,
	slots: 4,
	connections: 330,
	instances: 48,
	services: {
		roster: {targets: 15, serviceTime: 30},
		swaps: {targets: 12, serviceTime: 40},
		handbook: {targets: 8, serviceTime: 60},
		coverage: {targets: 10, serviceTime: 50},
	},
	rates: {
		nordstrand: 400,
		havnebadet: 300,
		fjellvann: 200,
		sundet: 60,
		vika: 40,
		odden: 30,
		skjaeret: 20,
		holmen: 10,
	},
});

/** Adinkra Inkworks, the card studios. */
export const inkworks: Organisation = createOrganisation({
	name: 'Inkworks',
	domains: 3,
	distance: 0.5,
	slots: 2,
	connections: 390,
	instances: 48,
	services: {
		proofs: {targets: 18, serviceTime: 30},
		orders: {targets: 12, serviceTime: 25},
		fontpacks: {targets: 6, serviceTime: 40},
		prices: {targets: 10, serviceTime: 15},
	},
	rates: {
		sankofa: 250,
		nyame: 180,
		duafe: 120,
		aya: 50,
		fawohodie: 30,
		akoma: 20,
		dwennimmen: 15,
		mate: 10,
	},
});

export const organisations: readonly Organisation[] = [fjordvik, inkworks];
