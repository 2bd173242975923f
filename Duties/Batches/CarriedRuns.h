#pragma once

#include "Duties/Batches/Batch.h"

/** Servers that ended under an item in an earlier batch. A trainer submits the
 * items of an incomplete group again, under the same ids; an item that ends its
 * servers would otherwise end as many in each step. No I/O. */
namespace lavender::batches {

/** Returns the counted runs of the submission's items. */
std::vector<run_record>
CarriedRuns(const submission& aSubmission, const std::vector<item_run>& aRuns);

} // namespace lavender::batches
