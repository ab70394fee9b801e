/**
 * All proofs.
 *
 * @module
 */
import {budgetProofs} from './budget-proofs.js';
import {configurationProofs} from './configuration-proofs.js';
import {deliveryProofs} from './delivery-proofs.js';
import type {Proof} from './proof.js';

/** All proofs, by the matter they are about. */
export const proofs: readonly Proof[] = [...budgetProofs, ...deliveryProofs, ...configurationProofs];
