#include "overload/ranks.h"
