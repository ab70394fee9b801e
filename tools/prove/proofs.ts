/**
 * All proofs.
 *
 * @module
 */
import {bookingProofs} from './booking-proofs.js';
import {budgetProofs} from './budget-proofs.js';
import {configurationProofs} from './configuration-proofs.js';
import {deathProofs} from './death-proofs.js';
import {deliveryProofs} from './delivery-proofs.js';
import type {Proof} from './proof.js';
import {stopProofs} from './stop-proofs.js';

/** All proofs, by the matter they are about. */
export const proofs: readonly Proof[] = [...budgetProofs, ...deathProofs, ...bookingProofs, ...deliveryProofs, ...stopProofs, ...configurationProofs];
